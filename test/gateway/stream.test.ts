import test from 'ava'
import type { Route, Target } from '../../src/fleet/types.js'
import { rerouteStreams } from '../../src/gateway/rerouteStreams/index.js'
import { createRetryBudget } from '../../src/retry/createRetryBudget/index.js'
import { platformHeaders } from '../../platform/headers.js'
import { DeadlineError } from '../../src/runtime/withDeadline/index.js'
import { buildAnswer, encodeChunk, encodeEvents, servePlatformEngine, buildStreamHead, STREAM_END, type EngineScript, type PlatformEngineStandin } from '../../standin/platform/servePlatformEngine/index.js'
import { hashLoadKey } from '../../src/path/hashLoadKey/index.js'
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

/** Refuses a number of requests without running them, then behaves as `next`. */
function refusing (count: number, next: EngineScript): EngineScript {
  let refusals = 0
  return (request, socket) => {
    if (refusals++ >= count) return next(request, socket)
    socket.end(buildAnswer(request, '', { status: '503 Full', headers: ['Not-Executed: 1'] }))
  }
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

test('a stream that is given up at an event is not complete when its end arrives with that event', async t => {
  const breaks: EngineScript[] = [
    (request, socket) => { socket.end(buildStreamHead(request) + encodeEvents([1, 2, 4]) + STREAM_END) },
    (request, socket) => { socket.end(buildStreamHead(request) + encodeEvents([1, 2]) + encodeChunk('data: piece without id\n\n') + STREAM_END) },
    (request, socket) => { socket.end(buildStreamHead(request) + encodeEvents([1, 2]) + encodeChunk('data: piece without id\n\n') + encodeEvents([3]) + STREAM_END) }
  ]
  for (const script of breaks) {
    await using pipelines = await startPipelines(script)
    const answer = await pipelines.gateway.send('/stream/x')
    t.like(answer, { status: 200, isComplete: true })
    t.deepEqual(idsOf(answer.body), [1, 2, 3, 4])
    t.is(pipelines.second.received[0]?.headers['last-event-id'], '2')
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

/** The routes with the given fields of the stream's route replaced. */
const withStreamRoute = (fields: Partial<Route>): typeof TEST_CONFIGURATION => ({ ...TEST_CONFIGURATION, routes: TEST_CONFIGURATION.routes.map(route => route.kind === 'stream' ? { ...route, ...fields } : route) })

test('an answer that is cut after it had begun is logged as failed with its cause, and never with a status', async t => {
  const broken: EngineScript = (request, socket) => { socket.write(buildStreamHead(request) + encodeEvents([Number(request.headers['last-event-id'] ?? 0) + 1]), () => socket.destroy()) }
  const silent: EngineScript = (request, socket) => { socket.write(buildStreamHead(request) + encodeEvents([1])) }
  const error: EngineScript = (request, socket) => socket.end(buildAnswer(request, 'no', { status: '500 Failed' }))
  const cases: Array<{ scripts: [EngineScript, EngineScript], cause: string, reason?: string, route?: Partial<Route>, tries: number, lastEventId: number, hasRetries?: boolean, deadlineMs?: number }> = [
    { scripts: [broken, broken], cause: 'attempts', tries: 2, lastEventId: 2 },
    { scripts: [broken, error], cause: 'targetFailed', tries: 2, lastEventId: 1 },
    { scripts: [broken, broken], cause: 'targetFailed', route: { isResumable: false }, tries: 1, lastEventId: 1 },
    { scripts: [broken, broken], cause: 'deadline', reason: 'deadlinePassed', tries: 1, lastEventId: 1, hasRetries: false, deadlineMs: 300 },
    { scripts: [broken, refusing(Infinity, WHOLE_STREAM)], cause: 'deadline', reason: 'deadlinePassed', tries: 3, lastEventId: 1, deadlineMs: 700 },
    { scripts: [silent, silent], cause: 'deadline', reason: 'deadlinePassed', tries: 1, lastEventId: 1, deadlineMs: 300 }
  ]
  for (const { scripts, cause, reason = 'targetFailed', route = {}, tries, lastEventId, hasRetries = true, deadlineMs = 4_000 } of cases) {
    await using pipelines = await startPipelines(...scripts, { configuration: withStreamRoute(route) })
    const { parts: context } = pipelines.gateway
    if (!hasRetries) context.budget = createRetryBudget({ ratio: 0, extraRetries: 0, windowMs: 10_000, runtime: context.runtime, hostCount: () => 1 })
    t.false((await pipelines.gateway.send('/stream/x', { 'deadline-ms': String(deadlineMs) })).isComplete)
    const events = context.log.recent()
    const ends = events.filter(({ number }) => number >= 3200 && number <= 3203)
    t.deepEqual(ends.map(({ name, reason, isCut, status }) => ({ name, reason, isCut, status })), [{ name: 'gatewayFailed', reason, isCut: true, status: undefined }], cause)
    const cut = events.find(({ name }) => name === 'answerCut')
    t.like(cut, { request: 'r1', route: 'stream', account: 'studio', reason, cause, tries, lastEventId, isDraining: false, version: 3 }, cause)
    for (const field of ['leftMs', 'tookMs', 'versionAgeMs']) t.is(typeof cut?.[field], 'number', field)
    t.deepEqual((await context.metrics.answersCut.get()).values.map(({ labels, value }) => [labels.cause, value]), [[cause, 1]])
  }
})

test('a stream refused before its answer began is not logged as cut', async t => {
  await using gateway = await startTestGateway([engine('i-1', '127.0.0.1:1', 0, 40)])
  await gateway.send('/stream/x', { 'deadline-ms': '1' })
  const events = gateway.parts.log.recent()
  t.like(events.find(({ name }) => name === 'gatewayRefused'), { status: 503, isCut: undefined })
  t.false(events.some(({ name }) => name === 'answerCut'))
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

/** Streams two events and breaks off. */
const BREAKS_OFF: EngineScript = (request, socket) => { socket.write(buildStreamHead(request) + encodeEvents([1, 2]), () => socket.destroy()) }

/** Routes with so short an objective that a new request hardly waits for capacity. */
const IMPATIENT_CONFIGURATION = { ...TEST_CONFIGURATION, routes: TEST_CONFIGURATION.routes.map(route => ({ ...route, objectiveMs: 20, timeoutMs: 60_000 })) }

test('an answer that has begun is not cut when engines refuse to resume it', async t => {
  await using pipelines = await startPipelines(BREAKS_OFF, refusing(3, WHOLE_STREAM), { configuration: IMPATIENT_CONFIGURATION })
  const answer = await pipelines.gateway.send('/stream/x', { 'deadline-ms': '60000' })
  t.true(answer.isComplete)
  t.deepEqual(idsOf(answer.body), [1, 2, 3, 4])
  t.is(pipelines.second.received.length, 4)
})

test('an answer that has begun is not cut while the retry budget is spent', async t => {
  await using pipelines = await startPipelines(BREAKS_OFF)
  const { parts: context } = pipelines.gateway
  context.budget = createRetryBudget({ ratio: 0, extraRetries: 2, windowMs: 300, runtime: context.runtime, hostCount: () => 1 })
  context.budget.trySpend('model')
  const answer = await pipelines.gateway.send('/stream/x')
  t.true(answer.isComplete)
  t.deepEqual(idsOf(answer.body), [1, 2, 3, 4])
})

test('an answer that has begun is not cut while no engine has capacity to resume it', async t => {
  let leave = (): void => {}
  const breakOffAndLeave: EngineScript = (request, socket) => {
    leave()
    BREAKS_OFF(request, socket)
  }
  await using pipelines = await startPipelines(breakOffAndLeave, WHOLE_STREAM, { configuration: IMPATIENT_CONFIGURATION })
  const { fleet, runtime } = pipelines.gateway.parts
  const targets = fleet.targets()
  leave = () => {
    fleet.applySnapshot({ revision: 2, targets: [] })
    // Longer than a new request waits, and than layers take to be loaded again.
    runtime.setTimer(3_000, () => { fleet.applySnapshot({ revision: 3, targets }) })
  }
  const answer = await pipelines.gateway.send('/stream/x', { 'deadline-ms': '60000' })
  t.true(answer.isComplete)
  t.deepEqual(idsOf(answer.body), [1, 2, 3, 4])
})

test('runs on engines that have left since do not end an answer that has begun', async t => {
  await using third = await servePlatformEngine(WHOLE_STREAM)
  const ranOn: string[] = []
  let noteRun = (_id: string): void => {}
  const breakOff = (id: string): EngineScript => (request, socket) => {
    noteRun(id)
    socket.write(buildStreamHead(request) + encodeEvents([Number(request.headers['last-event-id'] ?? 0) + 1]), () => socket.destroy())
  }
  await using pipelines = await startPipelines(breakOff('i-1'), breakOff('i-2'))
  noteRun = id => {
    ranOn.push(id)
    if (ranOn.length === 2) pipelines.gateway.parts.fleet.applyChanges({ revision: 2, changed: [engine('i-3', third.address, 0, 30)], removedIds: [ranOn[0]!] })
  }
  const answer = await pipelines.gateway.send('/stream/x')
  t.true(answer.isComplete)
  t.deepEqual(idsOf(answer.body), [1, 2, 3, 4])
})

test('a stream whose deadline has passed is answered even if its timer has not fired yet', async t => {
  await using gateway = await startTestGateway([engine('i-1', '127.0.0.1:1', 0, 30), engine('i-1h', '127.0.0.1:1', 30, 60), engine('i-1t', '127.0.0.1:1', 60, 80)])
  const { parts } = gateway
  const { monotonicMs } = parts.runtime
  let skippedMs = 0
  parts.runtime.monotonicMs = () => monotonicMs() + skippedMs
  parts.format = {
    ...parts.format,
    buildHeaders (...inputs) {
      skippedMs = 60_000
      return platformHeaders.buildHeaders(...inputs)
    }
  }
  const answer = await Promise.race([gateway.send('/stream/x'), new Promise(resolve => { setTimeout(resolve, 3_000, 'no answer') })])
  t.like(answer, { status: 504 })
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

test('an order for another path that fails after its stream has ended leaves no load', async t => {
  let finish = (): void => {}
  const held: EngineScript = (request, socket) => {
    socket.write(buildStreamHead(request) + encodeEvents([1, 2]))
    finish = () => socket.end(encodeEvents([3, 4]) + STREAM_END)
  }
  let refuse = (): void => {}
  const refused = new Promise<void>(resolve => { refuse = resolve })
  const control = {
    isReachable: async (target: Target) => target.id !== 'i-1h',
    async repath () {
      finish()
      await refused
      return { kind: 'refused' as const, status: 409, faultyAddress: undefined }
    }
  }
  await using pipelines = await startPipelines(held, WHOLE_STREAM, { control, configuration: withStreamRoute({ isResumable: false }) })
  const { parts } = pipelines.gateway
  const controller = new AbortController()
  const rerouting = rerouteStreams(parts, { signal: controller.signal, onSuspicion: () => {} })
  t.true((await pipelines.gateway.send('/stream/x')).isComplete)
  while (parts.streams.size > 0) await new Promise(resolve => { setImmediate(resolve) })
  refuse()
  await new Promise(resolve => { setTimeout(resolve, 50) })
  controller.abort()
  await rerouting
  const engineKeys = parts.fleet.targets().map(target => hashLoadKey(target.id))
  t.deepEqual(engineKeys.filter(key => parts.loadTracker.sumWith([]).has(key)), [])
})

test('a stream on its last attempt is not interrupted for what a peer says of its engine', async t => {
  const script: EngineScript = (request, socket) => {
    if (request.headers['last-event-id'] === undefined) return BREAKS_OFF(request, socket)
    socket.write(buildStreamHead(request) + encodeEvents([3]))
    setTimeout(() => socket.end(encodeEvents([4]) + STREAM_END), 600)
  }
  await using pipelines = await startPipelines(script, script)
  const { parts } = pipelines.gateway
  const controller = new AbortController()
  const rerouting = rerouteStreams(parts, { signal: controller.signal, onSuspicion: () => {} })
  const answer = pipelines.gateway.send('/stream/x')
  while (pipelines.first.received.length + pipelines.second.received.length < 2) await new Promise(resolve => { setImmediate(resolve) })
  for (const id of ['i-1', 'i-2']) parts.suspicions.applyPeerSuspicion({ targetId: id, ageMs: 0, leftMs: 2_000, isUnfit: true })
  t.deepEqual(idsOf((await answer).body), [1, 2, 3, 4])
  controller.abort()
  await rerouting
})

test('a stream that cannot be resumed is left to an engine that a peer reports as unfit', async t => {
  const slow: EngineScript = (request, socket) => { setTimeout(() => WHOLE_STREAM(request, socket), 600) }
  await using pipelines = await startPipelines(slow, slow, { configuration: withStreamRoute({ isResumable: false }) })
  const { parts } = pipelines.gateway
  const controller = new AbortController()
  const rerouting = rerouteStreams(parts, { signal: controller.signal, onSuspicion: () => {} })
  const answer = pipelines.gateway.send('/stream/x')
  while (pipelines.first.received.length + pipelines.second.received.length === 0) await new Promise(resolve => { setImmediate(resolve) })
  for (const id of ['i-1', 'i-2']) parts.suspicions.applyPeerSuspicion({ targetId: id, ageMs: 0, leftMs: 2_000, isUnfit: true })
  t.is((await answer).status, 200)
  controller.abort()
  await rerouting
})
