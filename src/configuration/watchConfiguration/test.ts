import test from 'ava'
import { createMemoryObjectStore, type MemoryObjectStore } from '../../../standin/objectApi/createMemoryObjectStore/index.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import type { WatchResult } from '../../objectApi/types.js'
import { submitTicket } from '../../ticket/submitTicket/index.js'
import { createConfigurationHolder } from '../createConfigurationHolder/index.js'
import { watchConfiguration } from './index.js'

const ALL_RETRIES_MS = 5_000

async function setUp (prepare: (store: MemoryObjectStore) => void = () => {}) {
  const store = createMemoryObjectStore()
  prepare(store)
  const runtime = createManualRuntime()
  const log = createTestLog()
  const holder = createConfigurationHolder({ runtime, log })
  const controller = new AbortController()
  const submit = async (number: number) =>
    await submitTicket({ number, scopes: { timeouts: { connectMs: number } } }, { store, runtime, log, operator: 'ana' })
  const task = watchConfiguration({ store, holder, log, runtime, signal: controller.signal })
  await runtime.settle()
  const eventsNamed = (name: string) => log.recent().filter(event => event.name === name)
  const stop = async (): Promise<void> => {
    controller.abort()
    await task
  }
  return { store, runtime, holder, submit, eventsNamed, stop }
}

test('a ticket comes into force through the watch', async t => {
  const { runtime, holder, submit, stop } = await setUp()
  await submit(1)
  await runtime.settle()
  t.is(holder.current().timeouts.connectMs, 1)
  await stop()
})

test('a silent watch is replaced and what it missed comes into force', async t => {
  let answerWatch = (_result: WatchResult): void => {}
  const { runtime, holder, submit, eventsNamed, stop } = await setUp(store => {
    const { watch } = store
    store.watch = async () => {
      store.watch = watch
      return await new Promise(resolve => { answerWatch = resolve })
    }
  })
  await submit(1)
  await runtime.settle()
  t.is(holder.current().head.revision, 0)
  answerWatch({ kind: 'silent', afterMs: 6_000 })
  await runtime.settle()
  t.is(holder.current().head.revision, 1)
  t.is(eventsNamed('watchReplaced').length, 1)
  await stop()
})

test('the configuration in force is written back to a store that was restored to an older state', async t => {
  const { store, runtime, holder, submit, eventsNamed, stop } = await setUp()
  await submit(1)
  await runtime.settle()
  const [olderObjects, revision] = [store.snapshot(), store.revision()]
  await submit(2)
  await runtime.settle()
  store.restore(olderObjects, revision)
  await runtime.advance(ALL_RETRIES_MS)
  t.is(holder.current().head.revision, 2)
  t.like(store.snapshot().find(object => object.key === 'config/head')?.value, { revision: 2, scopes: { timeouts: 2 } })
  t.is(eventsNamed('storeRepaired').length, 1)
  await stop()
})

test('a host that starts while the store is down is ready once the store is back', async t => {
  const { store, runtime, holder, submit, stop } = await setUp(newStore => { newStore.faults.down = true })
  await runtime.advance(ALL_RETRIES_MS)
  t.false(holder.isReady())
  store.faults.down = false
  await submit(1)
  await runtime.advance(ALL_RETRIES_MS)
  t.true(holder.isReady())
  await stop()
})
