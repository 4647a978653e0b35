import test from 'ava'
import fc from 'fast-check'
import { createMemoryObjectStore } from '../../../standin/objectApi/createMemoryObjectStore/index.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createLeaseClient } from './index.js'

const DURATION_MS = 6_000

/** Seed of the interleavings; printed by fast-check with a failure. */
const SEED = 4_117

function setUp () {
  const store = createMemoryObjectStore()
  const runtime = createManualRuntime()
  const claim = (holder: string) => createLeaseClient({ holder, durationMs: DURATION_MS, store, runtime })
  return { store, runtime, claim }
}

test('two claims in a race have one holder', async t => {
  const { claim } = setUp()
  const [a, b] = [claim('a'), claim('b')]
  await Promise.all([a.step(), b.step()])
  t.is([a, b].filter(one => one.held() !== undefined).length, 1)
})

test('a holder that was paused past its lease no longer holds it', async t => {
  const { runtime, claim } = setUp()
  const [a, b] = [claim('a'), claim('b')]
  await a.step()
  await b.step()
  await runtime.advance(DURATION_MS)
  t.is(a.held(), undefined)
  await b.step()
  t.is(b.held()?.fencing, 2)
  await a.step()
  t.is(a.held(), undefined)
})

test('a lease whose first answer was lost is adopted by its writer', async t => {
  const { store, claim } = setUp()
  const a = claim('a')
  store.faults.loseAnswers = 1
  await a.step()
  t.is(a.held(), undefined)
  await a.step()
  t.is(a.held()?.fencing, 1)
})

test('a takeover that lands late leaves one holder', async t => {
  const { store, runtime, claim } = setUp()
  const [a, b] = [claim('a'), claim('b')]
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

test('a target that does not check fencing numbers gets no order before the one of the last holder has ended', async t => {
  const { runtime, claim } = setUp()
  const a = claim('a')
  await a.step()
  t.truthy(a.mayOrder({ checksFencing: true }))
  t.is(a.mayOrder({ checksFencing: false }), undefined)
  await runtime.advance(2_000)
  t.truthy(a.mayOrder({ checksFencing: false }))
})

test('a restored store does not give out a fencing number that engines have seen', async t => {
  const { claim } = setUp()
  const a = claim('a')
  await a.step()
  await a.step({ fencingAbove: 9 })
  t.is(a.held()?.fencing, 10)
})

const actionArbitrary = fc.record({
  claim: fc.nat(2),
  advanceMs: fc.nat(4_000),
  fault: fc.constantFrom('none', 'loseAnswer', 'holdWrite', 'applyHeld', 'down')
})

test('no interleaving of faults and pauses gives two holders or a lower fencing number', async t => {
  await fc.assert(fc.asyncProperty(fc.array(actionArbitrary, { maxLength: 40 }), async actions => {
    const { store, runtime, claim } = setUp()
    const claims = [claim('a'), claim('b'), claim('c')]
    let highest = 0
    for (const action of actions) {
      await runtime.advance(action.advanceMs)
      store.faults.down = action.fault === 'down'
      if (action.fault === 'loseAnswer') store.faults.loseAnswers = 1
      if (action.fault === 'holdWrite') store.faults.holdWrites = 1
      if (action.fault === 'applyHeld') store.applyHeld()
      await claims[action.claim]!.step()
      const held = claims.flatMap(one => one.held() ?? [])
      if (held.length > 1) return false
      if (held[0] !== undefined && held[0].fencing < highest) return false
      highest = Math.max(highest, held[0]?.fencing ?? 0)
    }
    return true
  }), { seed: SEED, numRuns: 200 })
  t.pass()
})
