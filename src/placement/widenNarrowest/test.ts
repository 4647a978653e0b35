import test from 'ava'
import { buildEngine, TEST_MODEL } from '../../../test/fakes/buildFleet.js'
import { widenNarrowest } from './index.js'

const hold = (id: string, kind: string, from: number, to: number) => ({ target: buildEngine(id, 'north', kind), range: { from, to } })

test('empty engines hold the narrowest layers once more, within the ranges of others', t => {
  const held = [hold('a', 'large', 0, 30), hold('b', 'large', 30, 60), ...[60, 65, 70, 75].map(from => hold(`c${from}`, 'tiny', from, from + 5))]
  const boundaries = new Set(held.flatMap(({ range }) => [range.from, range.to]))
  const loads = widenNarrowest([buildEngine('small', 'north', 'small'), buildEngine('tiny', 'north', 'tiny'), buildEngine('odd', 'north', 'unheard-of')], { held, model: TEST_MODEL, boundaries })
  t.deepEqual(loads.map(({ target }) => target.id).sort(), ['small', 'tiny'])
  for (const { range } of loads) t.true(range.from >= 60 && boundaries.has(range.from))
  t.not(loads[0]!.range.from, loads[1]!.range.from)
})
