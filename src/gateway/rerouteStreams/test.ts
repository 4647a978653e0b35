import test from 'ava'
import { buildEngine, TEST_MODEL } from '../../../test/fakes/buildFleet.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import { createFleetState } from '../../fleet/createFleetState/index.js'
import { createLoadTracker } from '../../path/createLoadTracker/index.js'
import { createSuspicions } from '../../suspicion/createSuspicions/index.js'
import { createGatewayMetrics } from '../createGatewayMetrics/index.js'
import type { LinkCheck } from '../../links/createTargetLinks/index.js'
import type { OrderResult } from '../../placement/types.js'
import type { ActiveStream } from '../types.js'
import { rerouteStreams } from './index.js'

const ENGINES = ['a', 'b'].flatMap(set => [[0, 40], [40, 80]].map(([from, to]) => buildEngine(`${set}-${from}`, 'north', 'large', { from: from!, to: to! })))

/** A stream over the first of two sets of engines that each cover the model. */
function start ({ mayInterrupt = true, repathResult = { kind: 'done' }, check = 'reached', isRelayed = false, hostCount = 1 }: { mayInterrupt?: boolean, repathResult?: OrderResult, check?: LinkCheck, isRelayed?: boolean, hostCount?: number } = {}) {
  const runtime = createManualRuntime()
  const fleet = createFleetState({ runtime })
  fleet.applySnapshot({ revision: 1, targets: ENGINES })
  const suspicions = createSuspicions({ runtime })
  const moves: string[] = []
  const abandoned: string[] = []
  const checked: string[] = []
  const stream: ActiveStream = {
    requestId: 'r1',
    service: { name: 'model', model: TEST_MODEL },
    size: { promptTokens: 100, outputTokens: 50 },
    path: [{ target: ENGINES[0]!, from: 0, to: 40 }, { target: ENGINES[1]!, from: 40, to: 80 }],
    lastProgressMs: runtime.monotonicMs(),
    hasStarted: true,
    meanPauseMs: 10,
    isRerouting: false,
    assignPath (path) { stream.path = path },
    mayInterrupt: () => mayInterrupt,
    interrupt: cause => { abandoned.push(cause) },
    isRelayed: () => isRelayed,
    leaveLink () { abandoned.push('link') }
  }
  const controller = new AbortController()
  rerouteStreams({
    fleet,
    suspicions,
    loadTracker: createLoadTracker({ runtime }),
    streams: new Set([stream]),
    control: {
      report: async () => undefined,
      place: async () => ({ kind: 'begun' }),
      isReachable: async () => true,
      async repath (_target, _requestId, path) {
        moves.push(path.map(stage => stage.target.id).join(' '))
        return repathResult
      }
    },
    links: { connect: () => Promise.reject(new Error('not used')), connectForPeer: async () => 'unknown' as const, check: async ({ id }) => { checked.push(id); return check }, isImpaired: () => false },
    hostCount: () => hostCount,
    runtime,
    log: createTestLog(),
    metrics: createGatewayMetrics()
  }, { signal: controller.signal, onSuspicion: () => {} })
  /** Advances the clock while the stream keeps receiving events. */
  const sendEventsFor = async (forMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < forMs; passedMs += 10) {
      stream.lastProgressMs = runtime.monotonicMs()
      await runtime.advance(10)
    }
  }
  return { runtime, suspicions, stream, moves, abandoned, checked, controller, sendEventsFor }
}

test('streams that progress through engines that refuse other requests are not moved', async t => {
  const { suspicions, moves, abandoned, controller, sendEventsFor } = start()
  for (const id of ['a-0', 'a-40']) suspicions.note(id, 'refused')
  await sendEventsFor(200)
  controller.abort()
  t.deepEqual([moves, abandoned], [[], []])
})

test('a stream that has stalled at an engine that refuses requests is moved', async t => {
  const { runtime, suspicions, moves, controller, sendEventsFor } = start()
  await sendEventsFor(50)
  suspicions.note('a-40', 'refused')
  await runtime.advance(100)
  controller.abort()
  t.deepEqual(moves, ['a-0 b-40'])
})

test('the first engine of a path stays when it only refuses other requests', async t => {
  const { suspicions, stream, moves, abandoned, controller, sendEventsFor } = start()
  suspicions.note('a-0', 'refused')
  suspicions.note('a-40', 'unreachable')
  await sendEventsFor(100)
  controller.abort()
  t.deepEqual([moves, abandoned], [['a-0 b-40'], []])
  t.is(stream.path[0]!.target.id, 'a-0')
})

test('a stream that could not go on elsewhere is left to its engine', async t => {
  const { runtime, suspicions, moves, abandoned, controller, sendEventsFor } = start({ mayInterrupt: false, repathResult: { kind: 'refused', status: 409, faultyAddress: undefined } })
  await sendEventsFor(50)
  suspicions.note('a-40', 'unreachable')
  await runtime.advance(400)
  suspicions.note('a-0', 'unreachable')
  await runtime.advance(400)
  controller.abort()
  t.deepEqual([moves, abandoned], [['a-0 b-40', 'a-0 b-40'], []])
})

test('a short pause does not interrupt a stream whose first engine refuses other requests', async t => {
  const { runtime, suspicions, abandoned, controller, sendEventsFor } = start()
  await sendEventsFor(50)
  suspicions.note('a-0', 'refused')
  await runtime.advance(240)
  controller.abort()
  t.deepEqual(abandoned, [])
})

test('a stream that progresses is not interrupted for what a peer reported of its engine before', async t => {
  const { suspicions, abandoned, controller, sendEventsFor } = start()
  suspicions.applyPeerSuspicion({ targetId: 'a-0', ageMs: 0, leftMs: 50, isUnfit: true })
  suspicions.note('a-0', 'progressed')
  await sendEventsFor(20)
  suspicions.note('a-0', 'refused')
  await sendEventsFor(200)
  controller.abort()
  t.deepEqual(abandoned, [])
})

test('a failed connect between two events does not interrupt a stream that progresses', async t => {
  const { suspicions, abandoned, controller, sendEventsFor } = start()
  await sendEventsFor(50)
  suspicions.note('a-0', 'unreachable')
  await sendEventsFor(200)
  controller.abort()
  t.deepEqual(abandoned, [])
})

test('a paused stream leaves a lost link of its host, and nothing is held against the engine', async t => {
  for (const [isRelayed, expected] of [[false, ['link']], [true, []]] as const) {
    const { runtime, suspicions, abandoned, controller } = start({ check: 'relayed', isRelayed })
    await runtime.advance(150)
    controller.abort()
    t.deepEqual(abandoned.slice(0, 1), [...expected])
    t.false(suspicions.isDown('a-0'))
  }
})

test('a stream that progresses stays on a later engine that a peer reports as unfit', async t => {
  const { suspicions, moves, controller, sendEventsFor } = start()
  await sendEventsFor(50)
  suspicions.applyPeerSuspicion({ targetId: 'a-40', ageMs: 0, leftMs: 2_500, isUnfit: true })
  await sendEventsFor(200)
  controller.abort()
  t.deepEqual(moves, [])
})

test('the hosts of a large fleet together probe an engine as often as those of a small one', async t => {
  const probesPerS = async (hostCount: number): Promise<number> => {
    const { runtime, checked, controller, sendEventsFor } = start({ hostCount })
    await sendEventsFor(50)
    await runtime.advance(20_000)
    controller.abort()
    return checked.filter(id => id === 'a-40').length * hostCount / 20
  }
  const small = await probesPerS(8)
  const large = await probesPerS(195)
  t.true(large <= 1.5 * small, `${small} a second by 8 hosts, ${large} by 195`)
})

test('an engine is probed at once when a stream through it pauses, however many hosts there are', async t => {
  const { runtime, checked, controller, sendEventsFor } = start({ hostCount: 195 })
  await sendEventsFor(50)
  await runtime.advance(100)
  controller.abort()
  t.deepEqual([...checked].sort(), ['a-0', 'a-40'])
})

test('the engines of a slow stream are not probed at pauses that are usual to it', async t => {
  const { runtime, stream, checked, controller } = start()
  stream.meanPauseMs = 100
  for (let event = 0; event < 10; event++) {
    await runtime.advance(175)
    stream.lastProgressMs = runtime.monotonicMs()
  }
  t.deepEqual(checked, [])
  await runtime.advance(250)
  controller.abort()
  t.deepEqual([...checked].sort(), ['a-0', 'a-40'])
})
