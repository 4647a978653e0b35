import test from 'ava'
import { buildEngine, TEST_MODEL } from '../../../test/fakes/buildFleet.js'
import { expectEventMs } from './index.js'

const PATH = [
  { target: buildEngine('a', 'north', 'large', { from: 0, to: 40 }), from: 0, to: 20 },
  { target: buildEngine('b', 'south', 'small', { from: 20, to: 80 }), from: 20, to: 80 }
]

test('each stage needs time by its kind, layers and load, for each token of an event', t => {
  const idle = expectEventMs(PATH, TEST_MODEL, () => ({ tokenLayers: 0, sequences: 0, firstSequences: 0 }))
  t.deepEqual(idle.map(({ targetId }) => targetId), ['a', 'b'])
  t.true(Math.abs(idle[0]!.expectedMs - 0.85 * 1.4 / 4) < 1e-9)
  t.true(Math.abs(idle[1]!.expectedMs - 0.85 * 16 * 0.75) < 1e-9)
  const busy = expectEventMs(PATH, { ...TEST_MODEL, tokensPerEvent: 4 }, () => ({ tokenLayers: 40_000, sequences: 100, firstSequences: 0 }))
  t.true(busy[0]!.expectedMs > 4 * 1.5 * idle[0]!.expectedMs)
})

test('an engine of an unknown kind is left out', t => {
  t.deepEqual(expectEventMs([{ target: buildEngine('a', 'north', 'other'), from: 0, to: 80 }], TEST_MODEL, () => ({ tokenLayers: 0, sequences: 0, firstSequences: 0 })), [])
})
