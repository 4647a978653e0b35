import test from 'ava'
import { explainCall } from '../../src/event/explainCall/index.js'
import { connectSocket } from '../../src/links/connectSocket/index.js'
import type { Target } from '../../src/fleet/types.js'
import { buildAnswer, buildStreamHead, encodeEvents, servePlatformEngine, STREAM_END, type EngineScript } from '../../standin/platform/servePlatformEngine/index.js'
import { createShiftedRuntime } from '../fakes/createShiftedRuntime.js'
import { startTestGateway, TEST_CONFIGURATION } from '../fakes/startTestGateway.js'

/** A model that one engine can hold. */
const configuration = { ...TEST_CONFIGURATION, services: TEST_CONFIGURATION.services.map(service => service.model === undefined ? service : { ...service, model: { ...service.model, layerMb: 100 } }) }

const engine = (id: string, address: string): Target => ({ id, service: 'model', address, failureDomain: 'north', bornMs: 1, isLeaving: false, kind: 'large', slots: 134, layers: { from: 0, to: 80 } })

const streaming: EngineScript = (request, socket) => { socket.end(buildStreamHead(request) + encodeEvents([1, 2]) + STREAM_END) }

/** Pause in seconds, and steps of the clock within it; what is left is for the time that the calls take. */
const PAUSE_S = '10'
const STEPS_MS = [600, 1_600, 1_600, 1_600, 1_600]

const nextTurn = (): Promise<void> => new Promise(resolve => { setImmediate(resolve) })

/** Turns requests away and asks for a pause. */
const pausing = (retryAfterS: string): EngineScript => (request, socket) => {
  socket.end(buildAnswer(request, '', { status: '503 Service Unavailable', headers: ['Not-Executed: 1', `Retry-After: ${retryAfterS}`] }))
}

test('an engine that asks for a pause gets no stream before its end', async t => {
  const runtime = createShiftedRuntime()
  await using paused = await servePlatformEngine(pausing(PAUSE_S))
  await using free = await servePlatformEngine(streaming)
  await using gateway = await startTestGateway([engine('i-1', paused.address)], { configuration, runtime })
  const first = gateway.send('/stream/x')
  while (paused.received.length === 0) await nextTurn()
  gateway.parts.fleet.applyChanges({ revision: 2, changed: [{ ...engine('i-2', free.address), kind: 'small', failureDomain: 'south' }], removedIds: [] })
  t.is((await first).status, 200)
  const asked = paused.received.length
  for (const stepMs of STEPS_MS) {
    runtime.skip(stepMs)
    t.is((await gateway.send('/stream/x')).status, 200)
  }
  t.is(paused.received.length - asked, 0)
})

test('a stream that goes on does not end the pause that its engine asked for', async t => {
  const runtime = createShiftedRuntime()
  let sendNext = (_bytes: string): void => {}
  await using paused = await servePlatformEngine((request, socket) => {
    socket.write(buildStreamHead(request) + encodeEvents([1]))
    sendNext = bytes => { socket.write(bytes) }
  })
  await using free = await servePlatformEngine(streaming)
  await using gateway = await startTestGateway([engine('i-1', paused.address)], { configuration, runtime })
  const older = gateway.send('/stream/x', { 'deadline-ms': '20000' })
  while (gateway.parts.streams.size === 0 || ![...gateway.parts.streams][0]!.hasStarted) await nextTurn()
  paused.setScript(pausing(PAUSE_S))
  gateway.parts.fleet.applyChanges({ revision: 2, changed: [{ ...engine('i-2', free.address), kind: 'small', failureDomain: 'south' }], removedIds: [] })
  t.is((await gateway.send('/stream/x')).status, 200)
  const asked = paused.received.length
  for (const [index, stepMs] of STEPS_MS.entries()) {
    runtime.skip(stepMs)
    const previousMs = [...gateway.parts.streams][0]!.lastProgressMs
    sendNext(encodeEvents([index + 2]))
    while ([...gateway.parts.streams][0]!.lastProgressMs === previousMs) await nextTurn()
    t.is((await gateway.send('/stream/x')).status, 200)
  }
  sendNext(STREAM_END)
  t.is((await older).status, 200)
  t.is(paused.received.length - asked, 0)
})

test('a plain target that asks for a pause is no last resort', async t => {
  const runtime = createShiftedRuntime()
  await using paused = await servePlatformEngine(pausing(PAUSE_S))
  await using gateway = await startTestGateway([{ ...engine('o-1', paused.address), service: 'orders' }], { runtime })
  t.is((await gateway.send('/safe/x')).status, 503)
  const asked = paused.received.length
  for (const stepMs of STEPS_MS) {
    runtime.skip(stepMs)
    t.is((await gateway.send('/unsafe/x')).status, 503)
  }
  t.is(paused.received.length - asked, 0)
  runtime.skip(3_000)
  paused.setScript((request, socket) => { socket.end(buildAnswer(request, 'done')) })
  t.is((await gateway.send('/unsafe/x')).status, 200)
})

test('a refusal that does not repeat the id of its request asks for a pause all the same', async t => {
  const runtime = createShiftedRuntime()
  await using paused = await servePlatformEngine((_request, socket) => {
    socket.end('HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: 10\r\nContent-Length: 0\r\nConnection: close\r\n\r\n')
  })
  await using gateway = await startTestGateway([{ ...engine('o-1', paused.address), service: 'orders' }], { runtime })
  t.is((await gateway.send('/safe/x')).status, 503)
  const asked = paused.received.length
  for (const stepMs of STEPS_MS) {
    runtime.skip(stepMs)
    t.is((await gateway.send('/safe/x')).status, 503)
  }
  t.is(paused.received.length - asked, 0)
})

test('a refusal of another request, a time that cannot be read, and a 429 ask for no pause', async t => {
  const answers = [
    ['503 Service Unavailable', 'Request-Id: other\r\nRetry-After: 10'],
    ['503 Service Unavailable', 'Request-Id: r1\r\nRetry-After: -1'],
    ['503 Service Unavailable', 'Request-Id: r1\r\nRetry-After: Fri, 04 Dec 2026 12:00:00 GMT'],
    ['503 Service Unavailable', 'Request-Id: r1\r\nRetry-After: soon'],
    ['429 Too Many Requests', 'Request-Id: r1\r\nRetry-After: 10']
  ]
  await using target = await servePlatformEngine((_request, socket) => {
    const [status, headers] = answers.shift()!
    socket.end(`HTTP/1.1 ${status}\r\nNot-Executed: 1\r\n${headers}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`)
  })
  await using gateway = await startTestGateway([{ ...engine('o-1', target.address), service: 'orders' }])
  const { targetPauses, log } = gateway.parts
  for (let call = 0; call < 5; call++) {
    gateway.parts.suspicions.retain(new Set())
    await gateway.send('/safe/x')
    t.is(targetPauses.count(), 0)
  }
  t.is(target.received.length, 5)
  t.is(log.recent().filter(({ name }) => name === 'answerFieldInvalid').length, 3)
})

test('a stream is refused on arrival with the time until the first engine ends its pause', async t => {
  await using longer = await servePlatformEngine(pausing('20'))
  await using shorter = await servePlatformEngine(pausing('10'))
  await using gateway = await startTestGateway([engine('i-1', longer.address), engine('i-2', shorter.address)], { configuration })
  t.is((await gateway.send('/stream/x')).status, 503)
  const { status, headers } = await gateway.send('/stream/x', { 'request-id': 'r2' })
  t.is(status, 503)
  const retryAfterS = Number(headers['retry-after'])
  t.true(retryAfterS > 5 && retryAfterS <= 11, `${retryAfterS}`)
  t.like(gateway.parts.log.recent().find(({ name, request }) => name === 'gatewayRefused' && request === 'r2'), { reason: 'overloaded', waitedMs: 0, attempts: [] })
  t.regex(explainCall(gateway.parts.log.recent(), 'r2')!.cause, /each target that could take it wanted no requests from this host for \d+ ms or more/)
})

test('a plain call is told when the first target ends its pause', async t => {
  await using target = await servePlatformEngine(pausing('10'))
  await using gateway = await startTestGateway([{ ...engine('o-1', target.address), service: 'orders' }])
  const retryAfterS = Number((await gateway.send('/unsafe/x')).headers['retry-after'])
  t.true(retryAfterS > 5 && retryAfterS <= 11, `${retryAfterS}`)
})

test('a stream waits for a pause that ends soon', async t => {
  await using target = await servePlatformEngine(pausing('1'))
  await using gateway = await startTestGateway([engine('i-1', target.address)], { configuration })
  t.is((await gateway.send('/stream/x', { 'deadline-ms': '900' })).status, 503)
  target.setScript(streaming)
  t.is((await gateway.send('/stream/x')).status, 200)
})

test('a call whose connection opens after its target asked for a pause is not sent', async t => {
  const runtime = createShiftedRuntime()
  let release = (): void => {}
  const isReleased = new Promise<void>(resolve => { release = resolve })
  const connects: string[] = []
  const connectDirectly = async (address: string) => {
    const socket = await connectSocket(address, { timeoutMs: 100, runtime })
    if (connects.push(address) > 1) await isReleased
    return socket
  }
  await using target = await servePlatformEngine(pausing(PAUSE_S))
  await using gateway = await startTestGateway([{ ...engine('o-1', target.address), service: 'orders' }], { runtime, connectDirectly })
  const [first, second] = [gateway.send('/unsafe/x'), gateway.send('/unsafe/x')]
  t.is((await Promise.race([first, second])).status, 503)
  while (connects.length < 2) await nextTurn()
  release()
  t.deepEqual((await Promise.all([first, second])).map(({ status }) => status), [503, 503])
  t.is(target.received.length, 1)
})
