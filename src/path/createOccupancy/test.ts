import test from 'ava'
import { buildEngine } from '../../../test/fakes/buildFleet.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { LINK_WINDOW_MS, linkKey } from '../_lib/linkCost.js'
import { createOccupancy } from './index.js'

const SIZE = { promptTokens: 100, outputTokens: 50 }
const PATH = [
  { target: buildEngine('a', 'north', 'large'), from: 0, to: 40 },
  { target: buildEngine('b', 'south', 'large'), from: 40, to: 80 }
]

test('a claim counts on every stage until it is released, once', t => {
  const occupancy = createOccupancy({ runtime: createManualRuntime() })
  const claim = occupancy.claim(PATH, SIZE)
  t.deepEqual(occupancy.loadOf('a'), { tokenLayers: 6_000, sequences: 1, firstSequences: 1 })
  t.deepEqual(occupancy.loadOf('b'), { tokenLayers: 6_000, sequences: 1, firstSequences: 0 })
  claim[Symbol.dispose]()
  claim[Symbol.dispose]()
  t.is(occupancy.loadOf('a').sequences, 0)
})

test('a crossing counts on its link for the window alone', async t => {
  const runtime = createManualRuntime()
  const occupancy = createOccupancy({ runtime })
  occupancy.claim(PATH, SIZE)
  t.is(occupancy.loadOf(linkKey('south', 'north')).tokenLayers, 150)
  await runtime.advance(LINK_WINDOW_MS)
  t.is(occupancy.loadOf(linkKey('south', 'north')).tokenLayers, 0)
})

test('the load of peers is added and goes with them', t => {
  const occupancy = createOccupancy({ runtime: createManualRuntime() })
  occupancy.setPeer('other', { a: { tokenLayers: 10, sequences: 2, firstSequences: 1 } })
  t.is(occupancy.loadOf('a').sequences, 2)
  occupancy.setPeer('other', { a: { tokenLayers: 4, sequences: 1, firstSequences: 0 }, b: { tokenLayers: 3, sequences: 1, firstSequences: 0 } })
  t.deepEqual(occupancy.loadOf('a'), { tokenLayers: 4, sequences: 1, firstSequences: 0 })
  occupancy.removePeer('other')
  t.is(occupancy.loadOf('b').sequences, 0)
  t.is(occupancy.loadOf('a').sequences, 0)
})
