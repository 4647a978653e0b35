import test from 'ava'
import { applyLoads, buildEngine, buildFleet, describeEngines, TEST_MODEL } from '../../../test/fakes/buildFleet.js'
import { planFastReplica } from './index.js'

test('the fast replica spans the fast engines of two domains', t => {
  const { loads } = planFastReplica(describeEngines(buildFleet()), { model: TEST_MODEL })
  t.deepEqual(loads.map(({ target, range }) => [target.id, range.from, range.to]), [
    ['north-large-0', 0, 32], ['north-medium-0', 32, 48], ['south-medium-0', 48, 64], ['south-medium-1', 64, 80]
  ])
})

test('no fast replica spans a link that is slow for prompts', t => {
  const model = { ...TEST_MODEL, pipeMbps: 4_000 }
  t.deepEqual(planFastReplica(describeEngines(buildFleet()), { model }).loads, [])
})

test('no fast replica is planned when its engines no longer suffice', t => {
  const { memberIds } = planFastReplica(describeEngines(buildFleet(), new Set(['north-large-0'])), { model: TEST_MODEL })
  t.is(memberIds.size, 0)
})

test('fast engines that the replica does not use belong to the domain', t => {
  const fast = Array.from({ length: 8 }, (_, index) => buildEngine(`medium${index}`, 'north', 'medium'))
  const { memberIds, loads } = planFastReplica(describeEngines(fast), { model: TEST_MODEL })
  t.true(loads.length < fast.length)
  t.deepEqual([...memberIds], loads.map(({ target }) => target.id))
  const held = planFastReplica(describeEngines(applyLoads(fast, loads)), { model: TEST_MODEL })
  t.deepEqual(held.loads, [])
  t.deepEqual([...held.memberIds].sort(), [...memberIds].sort())
})
