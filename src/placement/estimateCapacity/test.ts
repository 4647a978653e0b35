import test from 'ava'
import { buildEngine, TEST_MODEL } from '../../../test/fakes/buildFleet.js'
import { chooseWidth, countConcurrentRequests, estimateEngineRate } from '../_lib/engineRate.js'
import { estimateCapacity } from './index.js'

const held = (kind: string, from: number, to: number) => ({ target: buildEngine(`${kind}${from}`, 'north', kind), range: { from, to } })

test('capacity is that of the narrowest layer', t => {
  const wide = held('large', 0, 40)
  const capacity = estimateCapacity([wide, held('large', 30, 70), held('small', 70, 80)], { model: TEST_MODEL })
  t.deepEqual(capacity.narrowest, { from: 70, to: 80 })
  t.is(capacity.requestsPerSecond, estimateEngineRate(buildEngine('', '', 'small'), 10, TEST_MODEL))
  t.is(capacity.byLayer[35], 2 * capacity.byLayer[0]!)
})

test('a layer without a holder leaves no capacity', t => {
  const { requestsPerSecond, narrowest } = estimateCapacity([held('large', 0, 30), held('large', 50, 80)], { model: TEST_MODEL })
  t.is(requestsPerSecond, 0)
  t.deepEqual(narrowest, { from: 30, to: 50 })
})

test('layers that fill the memory leave no room for requests, and unknown kinds have none', t => {
  t.true(countConcurrentRequests(buildEngine('', '', 'tiny'), 8, TEST_MODEL) < countConcurrentRequests(buildEngine('', '', 'tiny'), 5, TEST_MODEL) / 10)
  t.true(chooseWidth(buildEngine('', '', 'tiny'), TEST_MODEL) < 7)
  t.is(chooseWidth(buildEngine('', '', 'unheard-of'), TEST_MODEL), 0)
  t.is(estimateEngineRate(buildEngine('', '', 'unheard-of'), 1, TEST_MODEL), 0)
})
