import test from 'ava'
import { buildEngine, TEST_MODEL } from '../../../test/fakes/buildFleet.js'
import type { Target } from '../../fleet/types.js'
import { planReplica } from './index.js'

const engines = (kind: string, count: number): Target[] => Array.from({ length: count }, (_, index) => buildEngine(`${kind}${index}`, 'north', kind))
const OPTIONS = { model: TEST_MODEL, boundaries: new Set<number>() }
const LAYERS = TEST_MODEL.layerCount

test('fast engines that hold every layer are not mixed with slow ones', t => {
  const plan = planReplica({ from: 0, to: LAYERS }, [...engines('small', 12), ...engines('medium', 6)], OPTIONS)!
  t.true(plan.loads.every(({ target }) => target.kind === 'medium'))
  t.is(plan.loads.at(-1)?.range.to, LAYERS)
})

test('a few missing layers do not take a fast engine', t => {
  const plan = planReplica({ from: 40, to: 45 }, [...engines('large', 1), ...engines('tiny', 2)], OPTIONS)!
  t.deepEqual(plan.loads.map(({ target, range }) => [target.kind, range]), [['tiny', { from: 40, to: 45 }]])
})

test('engines that cannot hold every layer are no replica', t => {
  t.is(planReplica({ from: 0, to: LAYERS }, engines('small', 4), OPTIONS), undefined)
  t.is(planReplica({ from: 0, to: LAYERS }, engines('unheard-of', 40), OPTIONS), undefined)
})

test('ranges end where those of others do if that is near', t => {
  const plan = planReplica({ from: 0, to: LAYERS }, engines('medium', 6), { model: TEST_MODEL, boundaries: new Set([13, 26, 60]) })!
  t.true(plan.loads.some(({ range }) => range.to === 13))
  t.true(plan.loads.some(({ range }) => range.to === 26))
})
