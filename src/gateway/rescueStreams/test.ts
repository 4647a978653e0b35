import test from 'ava'
import { buildEngine, TEST_MODEL } from '../../../test/fakes/buildFleet.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import { createFleetState } from '../../fleet/createFleetState/index.js'
import { createLoadTracker } from '../../path/createLoadTracker/index.js'
import { createSuspicions } from '../../suspicion/createSuspicions/index.js'
import { createGatewayMetrics } from '../createGatewayMetrics/index.js'
import type { ActiveStream } from '../types.js'
import { rescueStreams } from './index.js'

const ENGINES = ['a', 'b'].flatMap(cover => [[0, 40], [40, 80]].map(([from, to]) => buildEngine(`${cover}-${from}`, 'north', 'large', { from: from!, to: to! })))

/** A stream over the first cover beside a second one. */
function start () {
  const runtime = createManualRuntime()
  const fleet = createFleetState({ runtime })
  fleet.applySnapshot({ revision: 1, targets: ENGINES })
  const suspicions = createSuspicions({ runtime })
  const moves: string[] = []
  const abandoned: string[] = []
  const stream: ActiveStream = {
    requestId: 'r1',
    service: { name: 'model', model: TEST_MODEL },
    size: { promptTokens: 100, outputTokens: 50 },
    path: [{ target: ENGINES[0]!, from: 0, to: 40 }, { target: ENGINES[1]!, from: 40, to: 80 }],
    progressedMs: runtime.monotonicMs(),
    hasStarted: true,
    meanPauseMs: 10,
    isBeingMoved: false,
    moveTo (path) { stream.path = path },
    abandon: cause => { abandoned.push(cause) }
  }
  const controller = new AbortController()
  rescueStreams({
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
        return { kind: 'done' }
      }
    },
    runtime,
    log: createTestLog(),
    metrics: createGatewayMetrics()
  }, { signal: controller.signal, onFinding: () => {} })
  /** Lets time pass while the stream sends events. */
  const flow = async (forMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < forMs; passedMs += 10) {
      stream.progressedMs = runtime.monotonicMs()
      await runtime.advance(10)
    }
  }
  return { runtime, suspicions, stream, moves, abandoned, controller, flow }
}

test('streams that go on through engines that refuse others, as full ones do, stay', async t => {
  const { suspicions, moves, abandoned, controller, flow } = start()
  for (const id of ['a-0', 'a-40']) suspicions.note(id, 'refused')
  await flow(200)
  controller.abort()
  t.deepEqual([moves, abandoned], [[], []])
})

test('a stream that has stopped at an engine that refuses others is moved', async t => {
  const { runtime, suspicions, moves, controller, flow } = start()
  await flow(50)
  suspicions.note('a-40', 'refused')
  await runtime.advance(100)
  controller.abort()
  t.deepEqual(moves, ['a-0 b-40'])
})

test('an engine that refuses others is no reason to leave it as the first of a path', async t => {
  const { suspicions, stream, moves, abandoned, controller, flow } = start()
  suspicions.note('a-0', 'refused')
  suspicions.note('a-40', 'unreachable')
  await flow(100)
  controller.abort()
  t.deepEqual([moves, abandoned], [['a-0 b-40'], []])
  t.is(stream.path[0]!.target.id, 'a-0')
})
