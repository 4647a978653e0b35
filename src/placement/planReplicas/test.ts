import test from 'ava'
import { buildEngine, TEST_MODEL } from '../../../test/fakes/buildFleet.js'
import type { LayerRange } from '../../fleet/types.js'
import type { HeldRange } from '../estimateCapacity/index.js'
import { planReplicas } from './index.js'

/** Three replicas of small engines, without one range of the last. */
const HELD: HeldRange[] = [0, 1, 2].flatMap(copy => Array.from({ length: 10 }, (_, index) => ({ target: buildEngine(`${copy}-${index}`, 'north', 'small'), range: { from: 8 * index, to: 8 * index + 8 } }))).slice(0, -1)
const BOUNDARIES = new Set(HELD.flatMap(({ range }) => [range.from, range.to]))

const plan = (kinds: string[], held = HELD): Array<[string, LayerRange]> =>
  planReplicas(kinds.map(kind => buildEngine(kind, 'north', kind)), { held, model: TEST_MODEL, boundaries: BOUNDARIES }).loads.map(({ target, range }) => [target.id, range])

test('an engine that returns empty takes the range that it held', t => {
  t.deepEqual(plan(['small']), [['small', { from: 72, to: 80 }]])
})

test('a large engine does not fill a small gap alone', t => {
  const [load] = plan(['large'])
  t.true(load![1].to - load![1].from > 8)
})

test('a domain is whole after a loss if every layer has two holders', t => {
  const isWhole = (held: HeldRange[]): boolean => planReplicas([], { held, model: TEST_MODEL, boundaries: BOUNDARIES }).isWholeAfterLoss
  t.true(isWhole(HELD))
  t.false(isWhole(HELD.slice(0, 15)))
})
