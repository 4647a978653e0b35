import test from 'ava'
import { buildEngine, TEST_MODEL } from '../../../test/fakes/buildFleet.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { LINK_WINDOW_MS, linkKey } from '../_lib/linkCost.js'
import { choosePath, type EngineLoad } from '../choosePath/index.js'
import { hashLoadKey } from '../hashLoadKey/index.js'
import { createLoadTracker } from './index.js'

const SIZE = { promptTokens: 100, outputTokens: 50 }
const PATH = [
  { target: buildEngine('a', 'north', 'large'), from: 0, to: 40 },
  { target: buildEngine('b', 'south', 'large'), from: 40, to: 80 }
]

test('a claim counts on every stage until it is released, once', async t => {
  const runtime = createManualRuntime()
  const loadTracker = createLoadTracker({ runtime })
  await runtime.advance(2_000)
  const claim = loadTracker.claim(PATH, SIZE)
  t.deepEqual(loadTracker.loadOf('a'), { tokenLayers: 6_000, sequences: 1, firstSequences: 1 })
  t.deepEqual(loadTracker.loadOf('b'), { tokenLayers: 6_000, sequences: 1, firstSequences: 0 })
  claim[Symbol.dispose]()
  claim[Symbol.dispose]()
  t.is(loadTracker.loadOf('a').sequences, 0)
})

test('a crossing counts on its link for the window only', async t => {
  const runtime = createManualRuntime()
  const loadTracker = createLoadTracker({ runtime })
  await runtime.advance(2_000)
  loadTracker.claim(PATH, SIZE)
  t.is(loadTracker.loadOf(linkKey('south', 'north')).tokenLayers, 150)
  await runtime.advance(LINK_WINDOW_MS)
  t.is(loadTracker.loadOf(linkKey('south', 'north')).tokenLayers, 0)
})

const loads = (byId: Record<string, EngineLoad>) => new Map(Object.entries(byId).map(([id, load]) => [hashLoadKey(id), load]))

test('the load behind neighbors is added until they are removed', t => {
  const loadTracker = createLoadTracker({ runtime: createManualRuntime() })
  t.true(loadTracker.setNeighborLoad('other', loads({ a: { tokenLayers: 10, sequences: 2, firstSequences: 1 } })))
  t.false(loadTracker.setNeighborLoad('other', loads({ a: { tokenLayers: 10, sequences: 2, firstSequences: 1 } })))
  t.is(loadTracker.loadOf('a').sequences, 2)
  loadTracker.setNeighborLoad('other', loads({ a: { tokenLayers: 4, sequences: 1, firstSequences: 0 }, b: { tokenLayers: 3, sequences: 1, firstSequences: 0 } }))
  t.deepEqual(loadTracker.loadOf('a'), { tokenLayers: 4, sequences: 1, firstSequences: 0 })
  loadTracker.removeNeighbor('other')
  t.is(loadTracker.loadOf('b').sequences, 0)
  t.is(loadTracker.loadOf('a').sequences, 0)
})

test('hosts do not overload the link when all callers reconnect before hosts hear of each other', async t => {
  const [HOSTS, CALLS_PER_HOST] = [7, 7]
  const slow = ['north', 'south'].flatMap(domain => [buildEngine(`${domain}-low`, domain, 'small', { from: 0, to: 40 }), buildEngine(`${domain}-high`, domain, 'small', { from: 40, to: 80 })])
  const fast = [buildEngine('fast-low', 'north', 'large', { from: 0, to: 40 }), buildEngine('fast-high', 'south', 'large', { from: 40, to: 80 })]
  const size = { promptTokens: 770, outputTokens: 174 }
  const model = { ...TEST_MODEL, layerMb: 100, activationBytes: 42_000, pipeMbps: 11_000 }
  let crossings = 0
  for (let host = 0; host < HOSTS; host++) {
    const loadTracker = createLoadTracker({ runtime: createManualRuntime() })
    // All hosts have just started, so none has a report of another.
    for (let call = 0; call < CALLS_PER_HOST; call++) {
      const { path } = choosePath([...slow, ...fast], size, { model, loadOf: loadTracker.loadOf, slownessOf: () => 1 })!
      loadTracker.claim(path, size)
      if (path[0]!.target.failureDomain !== path.at(-1)!.target.failureDomain) crossings++
    }
  }
  const transferMs = size.promptTokens * model.activationBytes * 8 / 1_000 / model.pipeMbps
  t.true(crossings > 0)
  // The last prompt over the link must arrive within the objective for the first event, 500 ms.
  t.true(crossings * transferMs < 500, `${crossings} prompts over the link`)
})

test('other hosts are assumed to send as much as the host until they report', async t => {
  const runtime = createManualRuntime()
  const loadTracker = createLoadTracker({ runtime, hostCount: () => 3 })
  await runtime.advance(2_000)
  loadTracker.claim(PATH, SIZE)
  t.is(loadTracker.loadOf(linkKey('south', 'north')).tokenLayers, 450)
  t.deepEqual(loadTracker.loadOf('a'), { tokenLayers: 18_000, sequences: 3, firstSequences: 3 })
  await runtime.advance(100)
  t.is(loadTracker.loadOf(linkKey('south', 'north')).tokenLayers, 150)
  t.deepEqual(loadTracker.loadOf('a'), { tokenLayers: 6_000, sequences: 1, firstSequences: 1 })
})

test('a sum contains the own load and that behind the given neighbors only', t => {
  const loadTracker = createLoadTracker({ runtime: createManualRuntime() })
  using claim = loadTracker.claim(PATH, SIZE)
  t.truthy(claim)
  loadTracker.setNeighborLoad('child', loads({ a: { tokenLayers: 10, sequences: 2, firstSequences: 1 } }))
  loadTracker.setNeighborLoad('parent', loads({ a: { tokenLayers: 5, sequences: 1, firstSequences: 1 } }))
  t.deepEqual(loadTracker.sumWith(['child']).get(hashLoadKey('a')), { tokenLayers: 6_010, sequences: 3, firstSequences: 2 })
  t.deepEqual(loadTracker.loadOf('a').sequences > 3, true)
})

test('a figure under a key of its own is summed like the load of a target until it is withdrawn', t => {
  const loadTracker = createLoadTracker({ runtime: createManualRuntime() })
  loadTracker.setNeighborLoad('peer', loads({ 'queue chat 1': { tokenLayers: 5, sequences: 1, firstSequences: 0 } }))
  loadTracker.setOwn('queue chat 1', { tokenLayers: 2, sequences: 1, firstSequences: 3 })
  t.deepEqual(loadTracker.loadOf('queue chat 1'), { tokenLayers: 7, sequences: 2, firstSequences: 3 })
  t.deepEqual(loadTracker.sumWith(['peer']).get(hashLoadKey('queue chat 1')), { tokenLayers: 7, sequences: 2, firstSequences: 3 })
  loadTracker.setOwn('queue chat 1', undefined)
  t.is(loadTracker.loadOf('queue chat 1').tokenLayers, 5)
})

test('a claim that is resized counts by its new size, until it is released', async t => {
  const runtime = createManualRuntime()
  const loadTracker = createLoadTracker({ runtime })
  await runtime.advance(2_000)
  const claim = loadTracker.claim(PATH, SIZE, { previousPath: PATH, isContinued: true })
  claim.resize({ promptTokens: 100, outputTokens: 200 })
  t.deepEqual(loadTracker.loadOf('a'), { tokenLayers: 12_000, sequences: 1, firstSequences: 1 })
  claim[Symbol.dispose]()
  claim.resize(SIZE)
  t.is(loadTracker.sumWith([]).get(hashLoadKey('a')), undefined)
})

test('a request that was counted before is not assumed of other hosts', async t => {
  const runtime = createManualRuntime()
  const loadTracker = createLoadTracker({ runtime, hostCount: () => 3 })
  await runtime.advance(2_000)
  loadTracker.claim(PATH, SIZE, { previousPath: PATH, isContinued: true })
  t.is(loadTracker.loadOf('a').sequences, 1)
  t.is(loadTracker.loadOf(linkKey('south', 'north')).tokenLayers, 0)
})
