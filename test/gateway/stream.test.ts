import test from 'ava'
import type { Target } from '../../src/fleet/types.js'
import { rerouteStreams } from '../../src/gateway/rerouteStreams/index.js'
import { DeadlineError } from '../../src/runtime/withDeadline/index.js'
import { buildAnswer, encodeChunk, encodeEvents, servePlatformEngine, buildStreamHead, STREAM_END, type EngineScript, type PlatformEngineStandin } from '../../standin/platform/servePlatformEngine/index.js'
import { startTestGateway, TEST_CONFIGURATION } from '../fakes/startTestGateway.js'

/** An engine that holds a range of layers. */
const engine = (id: string, address: string, from: number, to: number, failureDomain = 'north'): Target => ({
  id, service: 'model', address, failureDomain, bornMs: 1, isLeaving: false, kind: 'large', slots: 134, layers: { from, to }
})

/** Streams the four events of an answer, or those after the last event that the request names. */
const WHOLE_STREAM: EngineScript = (request, socket) => {
  const first = Number(request.headers['last-event-id'] ?? 0) + 1
  socket.end(buildStreamHead(request) + encodeEvents([1, 2, 3, 4].filter(id => id >= first)) + STREAM_END)
}

/** A gateway in front of two pipelines of three stages each; requests reach only the first stage of a pipeline. */
async function startPipelines (firstScript: EngineScript, secondScript: EngineScript = WHOLE_STREAM, options: Parameters<typeof startTestGateway>[1] = {}) {
  const engines = [await servePlatformEngine(firstScript), await servePlatformEngine(secondScript), await servePlatformEngine(WHOLE_STREAM), await servePlatformEngine(WHOLE_STREAM)] as [PlatformEngineStandin, PlatformEngineStandin, PlatformEngineStandin, PlatformEngineStandin]
  const [first, second, firstLater, secondLater] = engines
  const gateway = await startTestGateway([
    engine('i-1', first.address, 0, 30), engine('i-1h', firstLater.address, 30, 60), engine('i-1t', firstLater.address, 60, 80),
    engine('i-2', second.address, 0, 30, 'south'), engine('i-2h', secondLater.address, 30, 60, 'south'), engine('i-2t', secondLater.address, 60, 80, 'south')
  ], options)
  return {
    first,
    second,
    gateway,
    async [Symbol.asyncDispose] () {
      await gateway[Symbol.asyncDispose]()
      for (const standin of engines) await standin[Symbol.asyncDispose]()
    }
  }
}

/** Event ids of a body, in order. */
const idsOf = (body: string): number[] => [...body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]))

test('a stream is relayed event by event, over a path that covers every layer', async t => {
  await using pipelines = await startPipelines(WHOLE_STREAM)
  const answer = await pipelines.gateway.send('/stream/x')
  t.like(answer, { status: 200, isComplete: true })
  t.deepEqual(idsOf(answer.body), [1, 2, 3, 4])
  t.regex(pipelines.first.received[0]!.headers['hop-count']!, /=0-30,.*=30-60,.*=60-80$/)
})

test('a stream that is interrupted, even within an event, resumes elsewhere without gap or repeat', async t => {
  const breaks: EngineScript[] = [
    (request, socket) => { socket.write(buildStreamHead(request) + encodeEvents([1, 2]), () => socket.destroy()) },
    (request, socket) => { socket.write(buildStreamHead(request) + encodeEvents([1, 2]) + encodeChunk('id: 3\ndata: pi'), () => socket.destroy()) },
    (request, socket) => { socket.end(buildStreamHead(request) + encodeEvents([1, 2, 4])) },
    (request, socket) => { socket.end(buildStreamHead(request) + encodeEvents([1, 2]) + encodeChunk('data: piece without id\n\n')) }
  ]
  for (const script of breaks) {
    await using pipelines = await startPipelines(script)
    const answer = await pipelines.gateway.send('/stream/x')
    t.like(answer, { status: 200, isComplete: true })
    t.deepEqual(idsOf(answer.body), [1, 2, 3, 4])
    t.is(pipelines.second.received[0]!.headers['last-event-id'], '2')
  }
})

test('a caller that resumes a stream gets what follows its last event', async t => {
  await using pipelines = await startPipelines(WHOLE_STREAM)
  t.deepEqual(idsOf((await pipelines.gateway.send('/stream/x', { 'last-event-id': '2' })).body), [3, 4])
})

test('a stream that cannot be resumed does not look complete', async t => {
  const broken: EngineScript = (request, socket) => { socket.write(buildStreamHead(request) + encodeEvents([Number(request.headers['last-event-id'] ?? 0) + 1]), () => socket.destroy()) }
  await using pipelines = await startPipelines(broken, broken)
  t.false((await pipelines.gateway.send('/stream/x')).isComplete)
})

test('an engine that refuses without running the request is excluded, and so is a stage that it names', async t => {
  await using pipelines = await startPipelines((request, socket) => socket.end(buildAnswer(request, '', { status: '503 Full', headers: ['Not-Executed: 1'] })))
  t.deepEqual(idsOf((await pipelines.gateway.send('/stream/x')).body), [1, 2, 3, 4])
  t.is(pipelines.second.received.length, 1)
})

test('without a path the call is refused with a retry delay', async t => {
  await using gateway = await startTestGateway([engine('i-1', '127.0.0.1:1', 0, 40)])
  const refused = await gateway.send('/stream/x', { 'deadline-ms': '1' })
  t.is(refused.status, 503)
})

test('a stream whose later stage is dead gets another path within the same answer', async t => {
  const paths: string[] = []
  let release = (): void => {}
  const held: EngineScript = (request, socket) => {
    socket.write(buildStreamHead(request) + encodeEvents([1, 2]))
    release = () => socket.end(encodeEvents([3, 4]) + STREAM_END)
  }
  const control = {
    isReachable: async (target: Target) => target.id !== 'i-1h',
    repath: async (_target: Target, requestId: string, path: Array<{ target: Target }>) => {
      paths.push(`${requestId} ${path.map(stage => stage.target.id).join(' ')}`)
      release()
      return { kind: 'done' as const }
    }
  }
  await using pipelines = await startPipelines(held, WHOLE_STREAM, { control })
  const controller = new AbortController()
  const rerouting = rerouteStreams(pipelines.gateway.parts, { signal: controller.signal, onSuspicion: () => {} })
  const answer = await pipelines.gateway.send('/stream/x')
  controller.abort()
  await rerouting
  t.deepEqual(idsOf(answer.body), [1, 2, 3, 4])
  t.deepEqual(paths, ['r1 i-1 i-2h i-2t'])
  t.is(pipelines.second.received.length, 0)
})

test('a stream whose first engine is dead resumes at another one', async t => {
  const silent: EngineScript = (request, socket) => { socket.write(buildStreamHead(request) + encodeEvents([1, 2])) }
  await using pipelines = await startPipelines(silent, WHOLE_STREAM, { control: { isReachable: async (target: Target) => target.id !== 'i-1' } })
  const controller = new AbortController()
  const rerouting = rerouteStreams(pipelines.gateway.parts, { signal: controller.signal, onSuspicion: () => {} })
  const answer = await pipelines.gateway.send('/stream/x')
  controller.abort()
  await rerouting
  t.deepEqual(idsOf(answer.body), [1, 2, 3, 4])
})

test('a stream that may have run on an engine that is gone is not reported as not run', async t => {
  let leave = (): void => {}
  const reset: EngineScript = (_request, socket) => {
    leave()
    socket.resetAndDestroy()
  }
  const full: EngineScript = (request, socket) => socket.end(buildAnswer(request, '', { status: '503 Full', headers: ['Not-Executed: 1'] }))
  const configuration = { ...TEST_CONFIGURATION, routes: TEST_CONFIGURATION.routes.map(route => ({ ...route, objectiveMs: 50, timeoutMs: 60_000 })) }
  await using pipelines = await startPipelines(reset, full, { configuration })
  leave = () => pipelines.gateway.parts.fleet.applyChanges({ revision: 2, changed: [], removedIds: ['i-1'] })
  t.is((await pipelines.gateway.send('/stream/x', { 'deadline-ms': '60000' })).status, 502)
})

test('a refusal that names an address of the path counts against the engine of the path there', async t => {
  const refuse: EngineScript = (request, socket) => socket.end(buildAnswer(request, '', { status: '503 Service Unavailable', headers: ['Not-Executed: 1', `At-Server: ${/,([^=]+)=/.exec(request.headers['hop-count']!)![1]}`] }))
  await using pipelines = await startPipelines(refuse)
  const { fleet } = pipelines.gateway.parts
  const laterStage = fleet.targets().find(target => target.id === 'i-1h')!
  const listed = [{ ...laterStage, id: 'i-0', layers: undefined }, ...fleet.targets()]
  fleet.applySnapshot({ revision: 2, targets: [] })
  fleet.applySnapshot({ revision: 3, targets: listed })
  const answer = await pipelines.gateway.send('/stream/x')
  t.like(answer, { status: 200, isComplete: true })
  t.is(pipelines.first.received.length, 1)
})

test('a stream refused without running is reported as not run at once when the retry budget is spent', async t => {
  const refuse: EngineScript = (request, socket) => socket.end(buildAnswer(request, '', { status: '503 Service Unavailable', headers: ['Not-Executed: 1'] }))
  await using pipelines = await startPipelines(refuse, refuse)
  const { parts: context } = pipelines.gateway
  let placeRequests = 0
  const { dispatcherOf } = context
  context.dispatcherOf = service => {
    const dispatcher = dispatcherOf(service)
    return { ...dispatcher, request: wanted => dispatcher.request({ ...wanted, tryReservePlace: () => { placeRequests++; return wanted.tryReservePlace() } }) }
  }
  context.budget = { ...context.budget, left: () => 0, trySpend: () => false }
  const answer = await pipelines.gateway.send('/stream/x')
  t.is(answer.status, 503)
  t.truthy(answer.headers['retry-after'])
  t.is(placeRequests, 1)
})

test('a stream that still waits for capacity when all calls must end is refused', async t => {
  const end = new AbortController()
  await using gateway = await startTestGateway([engine('i-1', '127.0.0.1:9', 0, 30)], { endSignal: end.signal })
  const answer = gateway.send('/stream/x')
  while (gateway.parts.dispatcherOf('model').queueLength() === 0) await new Promise(resolve => { setImmediate(resolve) })
  end.abort(new DeadlineError(0))
  t.like(await answer, { status: 503, isComplete: true })
  t.is(gateway.parts.dispatcherOf('model').queueLength(), 0)
})
