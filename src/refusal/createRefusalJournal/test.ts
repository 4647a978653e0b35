import test from 'ava'
import { createMemoryObjectStore } from '../../../standin/objectApi/createMemoryObjectStore/index.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import { createRefusal } from '../../verdict/createRefusal/index.js'
import type { ReasonName } from '../../verdict/reasons.js'
import { findRefusal } from '../findRefusal/index.js'
import type { RefusalBatch, RefusalRegistry, RefusalRecord } from '../types.js'
import { createRefusalJournal, FLUSH_INTERVAL_MS, RETENTION_MS } from './index.js'

const EMPTY_REGISTRY: RefusalRegistry = { add: refusal => refusal, find: () => undefined }

async function setUp () {
  const store = createMemoryObjectStore()
  const runtime = createManualRuntime()
  const log = createTestLog()
  const controller = new AbortController()
  let writes = 0
  const counted = { ...store, write: (...args: Parameters<typeof store.write>) => { writes += 1; return store.write(...args) } }
  const journal = createRefusalJournal({ host: 'host-1-entry', store: counted, runtime, log })
  const task = journal.run(controller.signal)
  await runtime.settle()
  const refuse = (reason: ReasonName = 'overloaded', account = 'shop'): string =>
    journal.add(createRefusal(reason, { facts: { revision: 7, load: 0.9 } }), { request: 'r', account }).id
  /** Looks a refusal up on another host; `asked` is the answer of the host that refused. */
  const findFromOtherHost = (id: string, asked?: RefusalRecord) => findRefusal(id, { refusals: EMPTY_REGISTRY, store, askHost: async () => asked })
  async function stop (): Promise<void> {
    controller.abort()
    await runtime.advance(1)
    await task
  }
  return { store, runtime, log, journal, refuse, findFromOtherHost, stop, writes: () => writes }
}

test('a refusal is found from another host, with the facts at the time', async t => {
  const { runtime, refuse, findFromOtherHost } = await setUp()
  const id = refuse()
  await runtime.advance(1_000)
  t.like(await findFromOtherHost(id), { kind: 'found', refusal: { id, reasonNumber: 202, facts: { revision: 7, load: 0.9 }, account: 'shop' } })
})

test('a refusal that is not yet stored is asked of its host, and stored when that host stops', async t => {
  const { journal, refuse, findFromOtherHost, stop } = await setUp()
  const id = refuse()
  t.is((await findFromOtherHost(id)).kind, 'unknown')
  t.is((await findFromOtherHost(id, journal.find(id))).kind, 'found')
  await stop()
  t.is((await findFromOtherHost(id)).kind, 'found')
})

test('a flood of refusals costs a bounded number of writes, and dropped ones are counted', async t => {
  const { runtime, refuse, findFromOtherHost, writes, log, store } = await setUp()
  const rare = refuse('unknownModel', 'studio')
  const flood: string[] = []
  for (let second = 0; second < 20; second++) {
    for (let n = 0; n < 5_000; n++) flood.push(refuse())
    await runtime.advance(1_000)
  }
  t.true(writes() <= 20_000 / FLUSH_INTERVAL_MS + 1, `${writes()} writes`)
  t.is((await findFromOtherHost(rare)).kind, 'found')
  const [first] = store.snapshot().map(({ value }) => value as RefusalBatch)
  const dropped = [{ reason: 'overloaded', account: 'shop', count: 5_001 - first!.refusals.length }]
  const lost = flood.find(id => first!.refusals.every(refusal => refusal.id !== id))!
  t.deepEqual(await findFromOtherHost(lost), { kind: 'dropped', dropped })
  t.true(log.recent().some(({ name }) => name === 'refusalsDropped'))
})

for (const fault of ['down', 'holdWrites', 'loseAnswers'] as const) {
  test(`refusals during a store fault are stored after it: ${fault}`, async t => {
    const { store, runtime, refuse, findFromOtherHost } = await setUp()
    Object.assign(store.faults, { [fault]: fault === 'down' ? true : 1 })
    const ids = [refuse()]
    await runtime.advance(1_000)
    ids.push(refuse())
    store.faults.down = false
    await runtime.advance(3 * FLUSH_INTERVAL_MS)
    t.deepEqual((await Promise.all(ids.map(id => findFromOtherHost(id)))).map(({ kind }) => kind), ['found', 'found'])
  })
}

test('stored refusals are removed after their retention, also those of an earlier process', async t => {
  const { store, runtime, refuse, findFromOtherHost, stop } = await setUp()
  const id = refuse()
  await runtime.advance(1_000)
  await stop()
  const controller = new AbortController()
  const later = { ...runtime, nowMs: () => runtime.nowMs() + RETENTION_MS + 1_000 }
  const next = createRefusalJournal({ host: 'host-1-entry', store, runtime: later, log: createTestLog() })
  const task = next.run(controller.signal)
  await runtime.settle()
  next.add(createRefusal('overloaded'), {})
  await runtime.advance(1_000)
  t.is((await findFromOtherHost(id)).kind, 'unknown')
  controller.abort()
  await runtime.advance(1)
  await task
})

test('a full batch stays under the largest value of the object API', async t => {
  const { store, journal, stop } = await setUp()
  for (let n = 0; n < 1_500; n++) {
    journal.add(createRefusal('malformedRequest', { facts: { faults: ['x'.repeat(5_000)] } }), { request: 'r'.repeat(36), account: 'a'.repeat(64) })
  }
  await stop()
  t.true(JSON.stringify(store.snapshot()[0]!.value).length < 1_000_000)
})
