import test from 'ava'
import { createMemoryObjectStore } from '../../../standin/objectApi/createMemoryObjectStore/index.js'
import { serveObjectApi } from '../../../standin/objectApi/serveObjectApi/index.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createHttpObjectStore } from './index.js'

async function setUp () {
  const memory = createMemoryObjectStore()
  const runtime = createManualRuntime()
  const server = await serveObjectApi(memory, { address: '127.0.0.1', port: 0 })
  const store = createHttpObjectStore({ url: `http://${server.address}`, callTimeoutMs: 2_000, watchWaitMs: 5_000, runtime })
  return { memory, runtime, server, store }
}

test('a watch that stays silent past its wait is distinguished from a store that is down', async t => {
  const { memory, runtime, server, store } = await setUp()
  memory.faults.silentWatches = true
  const { signal } = new AbortController()
  const watched = store.watch('config/head', 0, { signal })
  await runtime.advance(6_000)
  t.deepEqual(await watched, { kind: 'silent', afterMs: 6_000 })
  memory.faults.down = true
  t.is((await store.watch('config/head', 0, { signal })).kind, 'unavailable')
  await store[Symbol.asyncDispose]()
  await server[Symbol.asyncDispose]()
})

test('a write whose answer is lost may have been applied, one refused by a store that is down was not', async t => {
  const { memory, server, store } = await setUp()
  memory.faults.loseAnswers = 1
  t.is((await store.write('a', 1, { ifAbsent: true })).kind, 'mayBeApplied')
  memory.faults.down = true
  t.is((await store.write('b', 1, { ifAbsent: true })).kind, 'notApplied')
  await store[Symbol.asyncDispose]()
  await server[Symbol.asyncDispose]()
})
