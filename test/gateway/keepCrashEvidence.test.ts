import test from 'ava'
import { createCrashEvidence } from '../../src/crash/createCrashEvidence/index.js'
import type { RequestTraits } from '../../src/crash/types.js'
import { keepCrashEvidence } from '../../src/gateway/_lib/keepCrashEvidence.js'
import { createMemoryObjectStore, type MemoryObjectStore } from '../../standin/objectApi/createMemoryObjectStore/index.js'
import { buildEngine } from '../fakes/buildFleet.js'
import { createManualRuntime } from '../fakes/createManualRuntime.js'
import { createTestLog } from '../fakes/createTestLog.js'

const REQUEST: RequestTraits = { service: 'orders', fingerprint: 'f1', promptParts: [] }
const promptOf = (request: string, ...parts: string[]): RequestTraits => ({ service: 'model', fingerprint: request, promptParts: [...parts, request] })

/** One process of a host, and how to end it. */
function startProcess (store: MemoryObjectStore, runtime: ReturnType<typeof createManualRuntime>, { isReader = true, name = 'i' } = {}) {
  const controller = new AbortController()
  const log = createTestLog()
  const evidence = createCrashEvidence({ runtime, log })
  const calls: string[] = []
  const counted = {
    read: (key: string) => { calls.push('read'); return store.read(key) },
    write: (...args: Parameters<MemoryObjectStore['write']>) => { calls.push('write'); return store.write(...args) }
  }
  keepCrashEvidence({ store: counted, evidence, isReader: () => isReader, runtime, log, signal: controller.signal })
  let crashes = 0
  return {
    evidence,
    calls,
    crash: (request: RequestTraits) => evidence.noteCrash(request, buildEngine(`${name}-${crashes++}`, 'north', 'large')),
    [Symbol.dispose]: () => controller.abort()
  }
}

test('evidence on requests that crash engines outlives all processes', async t => {
  const [store, runtime] = [createMemoryObjectStore(), createManualRuntime()]
  {
    using first = startProcess(store, runtime)
    for (let count = 0; count < 3; count++) first.crash(REQUEST)
    await runtime.advance(1_500)
    t.not(first.evidence.findCrashing(REQUEST), undefined)
  }
  await runtime.advance(10_000)
  using next = startProcess(store, runtime)
  using follower = startProcess(store, runtime, { isReader: false })
  await runtime.advance(1_500)
  t.like(next.evidence.findCrashing(REQUEST), { kind: 'request', crashes: 3 })
  t.is(next.evidence.findCrashing(promptOf('2')), undefined)
  follower.evidence.applyNews(next.evidence.newsFor('follower'))
  await runtime.advance(500)
  t.not(follower.evidence.findCrashing(REQUEST), undefined, 'hosts that do not read learn it from those that do')
  t.deepEqual(follower.calls, [])
  t.deepEqual(next.calls, ['read'], 'what was read is not written again')
})

test('a combination of parts is judged after a start as before', async t => {
  const [store, runtime] = [createMemoryObjectStore(), createManualRuntime()]
  {
    using first = startProcess(store, runtime)
    for (const part of ['bad-1', 'bad-1', 'bad-2']) first.crash(promptOf(part, 'shared', part))
    await runtime.advance(1_500)
  }
  using next = startProcess(store, runtime)
  await runtime.advance(1_500)
  t.deepEqual([promptOf('5', 'shared'), promptOf('6', 'shared', 'bad-1')].map(request => next.evidence.findCrashing(request) !== undefined), [false, true])
})

test('of the hosts whose requests took part in crashes one writes', async t => {
  const [store, runtime] = [createMemoryObjectStore(), createManualRuntime()]
  using one = startProcess(store, runtime)
  using other = startProcess(store, runtime, { name: 'j' })
  await runtime.advance(1_500)
  one.calls.length = other.calls.length = 0
  for (const crash of [one.crash, one.crash, other.crash]) {
    crash(REQUEST)
    // News is told later than the own crash is known.
    await runtime.advance(10)
    one.evidence.applyNews(other.evidence.newsFor('one'))
    other.evidence.applyNews(one.evidence.newsFor('other'))
  }
  await runtime.advance(10_000)
  t.is(store.snapshot().length, 1)
  t.is([...one.calls, ...other.calls].filter(call => call === 'write').length, 1)
  t.true(one.calls.length + other.calls.length <= 4)
})

test('the store is called only when verdicts change, also after an outage', async t => {
  const [store, runtime] = [createMemoryObjectStore(), createManualRuntime()]
  using process = startProcess(store, runtime)
  await runtime.advance(60_000)
  t.deepEqual(process.calls, ['read'])
  for (let count = 0; count < 2; count++) process.crash(REQUEST)
  await runtime.advance(60_000)
  t.deepEqual(process.calls, ['read'], 'suspicions are not stored')
  store.faults.down = true
  process.crash(REQUEST)
  await runtime.advance(2_000)
  store.faults.down = false
  await runtime.advance(60_000)
  t.is(store.snapshot().length, 1)
  process.calls.length = 0
  await runtime.advance(60_000)
  t.deepEqual(process.calls, [])
  process.evidence.noteAnswered(REQUEST)
  await runtime.advance(60_000)
  t.deepEqual(process.calls, ['read', 'write'])
  t.deepEqual(store.snapshot().map(({ value }) => value), [{ key: '', sightings: [] }])
})

test('evidence that is odd or too old is not used', async t => {
  for (const value of [null, [], { key: 'k', sightings: [{ part: 7 }] }, { key: 'k', sightings: 'x' }]) {
    const [store, runtime] = [createMemoryObjectStore(), createManualRuntime()]
    await store.write('crashes/evidence', value, { ifAbsent: true })
    using process = startProcess(store, runtime)
    await runtime.advance(1_500)
    t.is(process.evidence.verdicts().key, '')
    for (let count = 0; count < 3; count++) process.crash(REQUEST)
    await runtime.advance(1_500)
    t.like(store.snapshot()[0]?.value, { sightings: { length: 3 } }, 'it is replaced')
  }
  const [store, runtime] = [createMemoryObjectStore(), createManualRuntime()]
  {
    using first = startProcess(store, runtime)
    for (let count = 0; count < 3; count++) first.crash(REQUEST)
    await runtime.advance(1_500)
  }
  await runtime.advance(3_600_000)
  using late = startProcess(store, runtime)
  await runtime.advance(1_500)
  t.is(late.evidence.findCrashing(REQUEST), undefined)
})
