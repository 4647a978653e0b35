import test from 'ava'
import { buildEngine, TEST_MODEL } from '../../../test/fakes/buildFleet.js'
import type { LayerRange } from '../../fleet/types.js'
import { findEngineDefect } from './index.js'

const findDefect = (kind: string, layers?: LayerRange): string | undefined => findEngineDefect(buildEngine('a', 'north', kind, layers), { model: TEST_MODEL })

test('engines of a known kind that hold a part of the model are sound', t => {
  t.is(findDefect('small'), undefined)
  t.is(findDefect('small', { from: 72, to: 80 }), undefined)
})

test('engines without a known kind, or with layers that no order leads to, are left out', t => {
  const { kind, ...unnamed } = buildEngine('a', 'north', 'small')
  t.is(findEngineDefect(unnamed, { model: TEST_MODEL }), 'no kind')
  t.is(findDefect('unheard-of'), 'unknown kind')
  t.is(findDefect('small', { from: 76, to: 84 }), 'layers outside the model')
  t.is(findDefect('small', { from: 8, to: 8 }), 'layers outside the model')
  t.is(findDefect('tiny', { from: 0, to: 9 }), 'more layers than its memory holds')
  t.is(findEngineDefect(buildEngine('a', 'north', 'tiny'), { model: { ...TEST_MODEL, layerMb: 15_000 } }), 'no memory for a layer')
})
