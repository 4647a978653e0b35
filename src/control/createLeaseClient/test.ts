import test from 'ava'
import fc from 'fast-check'
import { createMemoryObjectStore } from '../../../standin/objectApi/createMemoryObjectStore/index.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createLeaseClient } from './index.js'

const DURATION_MS = 6_000

/** Seed of the random interleavings; fast-check prints it with a failure. */
const SEED = 4_117

function setUp () {
  const store = createMemoryObjectStore()
  const runtime = createManualRuntime()
  const createClient = (holder: string) => createLeaseClient({ holder, durationMs: DURATION_MS, store, runtime })
  return { store, runtime, createClient }
}

test('only one of two clients that race acquires the lease', async t => {
  const { createClient } = setUp()
  const [a, b] = [createClient('a'), createClient('b')]
  await Promise.all([a.step(), b.step()])
  t.is([a, b].filter(client => client.held() !== undefined).length, 1)
})

test('a holder that was paused past its lease no longer holds it', async t => {
  const { runtime, createClient } = setUp()
  const [a, b] = [createClient('a'), createClient('b')]
  await a.step()
  await b.step()
  await runtime.advance(DURATION_MS)
  t.is(a.held(), undefined)
  await b.step()
  t.is(b.held()?.fencing, 2)
  await a.step()
  t.is(a.held(), undefined)
})

test('a client recovers a lease whose write response was lost', async t => {
  const { store, createClient } = setUp()
  const a = createClient('a')
  store.faults.loseAnswers = 1
  await a.step()
  t.is(a.held(), undefined)
  await a.step()
  t.is(a.held()?.fencing, 1)
})

test('a write that is applied late does not give the lease a second holder', async t => {
  const { store, runtime, createClient } = setUp()
  const [a, b] = [createClient('a'), createClient('b')]
  store.faults.holdWrites = 1
  await a.step()
  await b.step()
  t.is(b.held()?.fencing, 1)
  store.applyHeld()
  await runtime.advance(1_000)
  await Promise.all([a.step(), b.step()])
  t.is(a.held(), undefined)
  t.is(b.held()?.fencing, 1)
})

test('a target that does not check fencing numbers gets no order while one of the previous holder may be in flight', async t => {
  const { runtime, createClient } = setUp()
  const a = createClient('a')
  await a.step()
  t.truthy(a.leaseForOrder({ checksFencing: true }))
  t.is(a.leaseForOrder({ checksFencing: false }), undefined)
  await runtime.advance(2_000)
  t.truthy(a.leaseForOrder({ checksFencing: false }))
})

test('the fencing number exceeds the one that engines report after the store was restored', async t => {
  const { createClient } = setUp()
  const a = createClient('a')
  await a.step()
  await a.step({ fencingAbove: 9 })
  t.is(a.held()?.fencing, 10)
})

const actionArbitrary = fc.record({
  client: fc.nat(2),
  advanceMs: fc.nat(4_000),
  fault: fc.constantFrom('none', 'loseAnswer', 'holdWrite', 'applyHeld', 'down')
})

test('no interleaving of faults and pauses gives two holders or a lower fencing number', async t => {
  await fc.assert(fc.asyncProperty(fc.array(actionArbitrary, { maxLength: 40 }), async actions => {
    const { store, runtime, createClient } = setUp()
    const clients = [createClient('a'), createClient('b'), createClient('c')]
    let highestFencing = 0
    for (const action of actions) {
      await runtime.advance(action.advanceMs)
      store.faults.down = action.fault === 'down'
      if (action.fault === 'loseAnswer') store.faults.loseAnswers = 1
      if (action.fault === 'holdWrite') store.faults.holdWrites = 1
      if (action.fault === 'applyHeld') store.applyHeld()
      await clients[action.client]!.step()
      const held = clients.flatMap(client => client.held() ?? [])
      if (held.length > 1) return false
      if (held[0] !== undefined && held[0].fencing < highestFencing) return false
      highestFencing = Math.max(highestFencing, held[0]?.fencing ?? 0)
    }
    return true
  }), { seed: SEED, numRuns: 200 })
  t.pass()
})
