import test from 'ava'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { buildEngine, TEST_MODEL } from '../../../test/fakes/buildFleet.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { computeCacheTokenLayers } from '../_lib/stageCost.js'
import { choosePath } from '../choosePath/index.js'
import { createLoadTracker } from '../createLoadTracker/index.js'
import { hashLoadKey } from '../hashLoadKey/index.js'
import { jitterPathOptions } from './index.js'

const SIZE = { promptTokens: 770, outputTokens: 174 }
const HOSTS = 60

/** One fast replica of the model and three slow ones, each of four engines that hold 20 layers. */
const buildReplica = (name: string, kind: string) => [0, 20, 40, 60].map(from => buildEngine(`${name}-${from}`, 'north', kind, { from, to: from + 20 }))
const ENGINES = [...buildReplica('fast', 'large'), ...buildReplica('one', 'medium'), ...buildReplica('two', 'medium'), ...buildReplica('three', 'medium')]
const MODEL = { ...TEST_MODEL, layerMb: 500, tokenLayerMb: 0.045 }

/** Cache fill of the fast replica, half full at first, after every host has sent a request by the same known load. */
function fillFastReplica (loadAgeMs: number): number {
  const generator = xoroshiro128plus(20261204)
  const loadTracker = createLoadTracker({ runtime: createManualRuntime() })
  const cacheTokenLayers = computeCacheTokenLayers(ENGINES[0]!, 20, MODEL)
  const known = { tokenLayers: cacheTokenLayers / 2, sequences: 20, firstSequences: 20 }
  const loadOf = (id: string) => id.startsWith('fast') ? known : { tokenLayers: 0, sequences: 0, firstSequences: 0 }
  for (let host = 0; host < HOSTS; host++) {
    const jitter = jitterPathOptions(() => 1, { loadAgeMs, random: () => uniformFloat64(generator) })
    const chosen = choosePath(ENGINES, SIZE, { model: MODEL, loadOf, ...jitter })!
    loadTracker.claim(chosen.path, SIZE)
  }
  return (known.tokenLayers + (loadTracker.sumWith([]).get(hashLoadKey('fast-0'))?.tokenLayers ?? 0)) / cacheTokenLayers
}

test('hosts that know nothing of each other for long do not all choose the best path', t => {
  t.true(fillFastReplica(0) > 1)
  t.true(fillFastReplica(400) < 1)
})

test('with fresh knowledge the best path is chosen', t => {
  const { cacheShare, slownessOf } = jitterPathOptions(() => 2, { loadAgeMs: 0, random: () => 0.9 })
  t.deepEqual([cacheShare, slownessOf('a')], [0.95, 2])
})

test('a surcharge stays the same within one choice', t => {
  let draws = 0
  const { slownessOf } = jitterPathOptions(() => 1, { loadAgeMs: 400, random: () => (draws++ % 7) / 7 })
  t.is(slownessOf('a'), slownessOf('a'))
})
