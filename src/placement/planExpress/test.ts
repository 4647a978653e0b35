import test from 'ava'
import { buildFleet, describeEngines, TEST_MODEL } from '../../../test/fakes/buildFleet.js'
import { planExpress } from './index.js'

test('the express cover takes fast engines of two domains in one sequence', t => {
  const { loads } = planExpress(describeEngines(buildFleet()), { model: TEST_MODEL })
  t.deepEqual(loads.map(({ target, range }) => [target.id, range.from, range.to]), [
    ['north-large-0', 0, 32], ['north-medium-0', 32, 48], ['south-medium-0', 48, 64], ['south-medium-1', 64, 80]
  ])
})

test('no express cover spans a link that is slow for prompts', t => {
  const model = { ...TEST_MODEL, pipeMbps: 4_000 }
  t.deepEqual(planExpress(describeEngines(buildFleet()), { model }).loads, [])
})

test('the express cover is given up when its engines no longer suffice', t => {
  const { memberIds } = planExpress(describeEngines(buildFleet(), new Set(['north-large-0'])), { model: TEST_MODEL })
  t.is(memberIds.size, 0)
})
