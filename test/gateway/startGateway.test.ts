import { once } from 'node:events'
import net from 'node:net'
import test from 'ava'
import { request } from 'undici'
import { createPlatformStore } from '../../platform/createPlatformStore.js'
import { createFleetFormat } from '../../platform/decode.js'
import { platformHeaders } from '../../platform/headers.js'
import type { DigestSocket } from '../../src/digest/types.js'
import type { EventLog, LoggedEvent } from '../../src/event/types.js'
import { createGatewayMetrics } from '../../src/gateway/createGatewayMetrics/index.js'
import { startGateway } from '../../src/gateway/startGateway/index.js'
import type { CallFormat } from '../../src/gateway/types.js'
import { connectSocket } from '../../src/links/connectSocket/index.js'
import type { Runtime } from '../../src/runtime/types.js'
import { buildAnswer, buildStreamHead, encodeEvents, servePlatformEngine, STREAM_END, type EngineScript } from '../../standin/platform/servePlatformEngine/index.js'
import { servePlatformStore } from '../../standin/platform/servePlatformStore/index.js'
import { createShiftedRuntime } from '../fakes/createShiftedRuntime.js'
import { createTestLog } from '../fakes/createTestLog.js'
import { findFreePort } from '../fakes/findFreePort.js'
import { sendCall } from '../fakes/startTestGateway.js'

const NO_PEERS: DigestSocket = { send () {}, onMessage () {}, async [Symbol.asyncDispose] () {} }

/** A whole gateway in front of one target, with a store that has no configuration and no target until `configure`; the end of its balancer lag is noticed `lateMs` late. */
async function startConfigurableGateway (script: EngineScript, options: { graceMs?: number, balancerLagMs?: number, lateMs?: number, format?: CallFormat } = {}) {
  const { graceMs = 60_000, balancerLagMs = 50, lateMs = 0, format = platformHeaders } = options
  const [store, target] = [await servePlatformStore(), await servePlatformEngine(script)]
  const systemRuntime = createShiftedRuntime()
  const runtime: Runtime = { ...systemRuntime, setTimer: (delayMs, run) => systemRuntime.setTimer(delayMs === balancerLagMs ? delayMs + lateMs : delayMs, run) }
  const log = createTestLog()
  const [caller, readiness, internal, metrics] = [await findFreePort(), await findFreePort(), await findFreePort(), await findFreePort()]
  const address = '127.0.0.1'
  const gateway = await startGateway({
    host: 'entry-1',
    ip: address,
    failureDomain: 'north',
    callerAddress: { address, port: caller },
    readinessAddress: { address, port: readiness },
    internalAddress: { address, port: internal },
    metricsAddress: { address, port: metrics },
    seedIps: [],
    retryRatio: 0.2,
    retryExtra: 196,
    retryWindowMs: 10_000,
    graceMs,
    balancerLagMs
  }, {
    store: createPlatformStore({ address: store.address, callTimeoutMs: 60_000, watchWaitMs: 100, watchGraceMs: 60_000, runtime, onCall: () => {} }),
    control: { report: async () => undefined, place: async () => ({ kind: 'begun' }), repath: async () => ({ kind: 'done' }), isReachable: async () => true },
    connectDirectly: address => connectSocket(address, { timeoutMs: 100, runtime }),
    socket: NO_PEERS,
    format,
    fleetFormat: createFleetFormat(log),
    runtime,
    log,
    metrics: createGatewayMetrics()
  })
  const isReady = async (): Promise<number> => (await request(`http://${address}:${readiness}/ready`)).statusCode
  return {
    store,
    target,
    gateway,
    log,
    /** Lets the event loop seem to have stood still. */
    standStill: systemRuntime.skip,
    isReady,
    callerAddress: `${address}:${caller}`,
    internalPort: internal,
    metricsUrl: `http://${address}:${metrics}/metrics`,
    configure () {
      store.put('servers', 'i-1', { service: 'orders', address: target.address, zone: 'north', version: 'v1', slots: 4, state: 'ready', cold_remaining_ms: 0, sequence: 1, born: 5 })
      store.put('config', 'main', {
        version: 1,
        routes: [
          { name: 'r', host: 'studio.example', path_prefix: '/unsafe/', kind: 'unsafe', timeout_ms: 60_000, target_latency_ms: 300, max_attempts: 1, service: 'orders' },
          { name: 's', host: 'studio.example', path_prefix: '/stream/', kind: 'streaming', timeout_ms: 60_000, target_latency_ms: 300, max_attempts: 1, service: 'orders' }
        ],
        services: [{ name: 'orders' }],
        limits: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
        tenants: [{ name: 'studio', api_keys: ['secret'] }]
      })
    },
    async [Symbol.asyncDispose] () {
      await gateway[Symbol.asyncDispose]()
      await target[Symbol.asyncDispose]()
      await store[Symbol.asyncDispose]()
    }
  }
}

/** Polls until a value is the expected one; the time limit of the test bounds the wait. */
async function waitFor<T> (read: () => Promise<T>, expected: T): Promise<void> {
  while (await read() !== expected) await new Promise(resolve => { setImmediate(resolve) })
}

const call = (address: string) => sendCall(address, '/unsafe/x', { 'deadline-ms': '60000' }, '')

test('a gateway is ready once it knows configuration and targets, and serves from then on', async t => {
  await using running = await startConfigurableGateway((request, socket) => socket.end(buildAnswer(request, 'done')))
  t.is(await running.isReady(), 503)
  t.is((await call(running.callerAddress)).status, 503)
  running.configure()
  await waitFor(running.isReady, 200)
  t.like(await call(running.callerAddress), { status: 200, body: 'done' })
  const metrics = await (await request(running.metricsUrl)).body.text()
  t.regex(metrics, /coltsfootlead_gateway_calls_total\{kind="unsafe",outcome="answered"\} 1/)
  t.regex(metrics, /coltsfootlead_gateway_hosts 1$/m)
})

test('shutdown lets open calls finish, and asks callers to close their connections', async t => {
  let release = (): void => {}
  let noteArrival = (): void => {}
  const arrived = new Promise<void>(resolve => { noteArrival = resolve })
  await using running = await startConfigurableGateway((request, socket) => {
    release = () => socket.end(buildAnswer(request, 'late but whole'))
    noteArrival()
  })
  running.configure()
  await waitFor(running.isReady, 200)
  const answer = call(running.callerAddress)
  await arrived
  const drained = running.gateway.drain()
  t.is(await running.isReady(), 503)
  release()
  const { status, body, headers } = await answer
  t.deepEqual([status, body, headers.connection], [200, 'late but whole', 'close'])
  await drained
})

test('shutdown without open calls still serves calls that arrive during the balancer lag', async t => {
  await using running = await startConfigurableGateway((request, socket) => socket.end(buildAnswer(request, 'done')), { balancerLagMs: 1_000 })
  running.configure()
  await waitFor(running.isReady, 200)
  const drained = running.gateway.drain()
  t.like(await call(running.callerAddress), { status: 200, body: 'done' })
  await drained
})

/** Events of one request, without those of the others. */
const eventsOf = (log: EventLog, request: string): LoggedEvent[] => log.recent().filter(event => event.request === request)

test.serial('answers that callers have not read when the process ends are logged with their ids, up to a limit', async t => {
  // More than the buffers of a connection on the loopback interface hold.
  const body = 'x'.repeat(8 * 1024 * 1024)
  await using running = await startConfigurableGateway((request, socket) => socket.end(buildAnswer(request, body)), { graceMs: 500 })
  running.configure()
  await waitFor(running.isReady, 200)
  const [host, port] = running.callerAddress.split(':')
  const callers = Array.from({ length: 22 }, (_, index) => {
    const caller = net.connect(Number(port), host)
    caller.on('error', () => {})
    caller.write(`POST /unsafe/x HTTP/1.1\r\nHost: studio.example\r\nAuthorization: Token secret\r\nRequest-Id: r${index}\r\nDeadline-Ms: 60000\r\nContent-Length: 0\r\n\r\n`)
    return caller
  })
  await waitFor(async () => running.log.recent().filter(({ name }) => name === 'gatewayAnswered').length, 22)
  await running.gateway.drain()
  t.like(running.log.recent().find(({ name }) => name === 'drainCut'), { openCalls: 22, unanswered: 22, notListed: 2 })
  const listed = running.log.recent().filter(({ name }) => name === 'requestUnanswered')
  t.is(new Set(listed.map(({ request }) => request)).size, 20)
  for (const event of listed) {
    t.like(event, { cause: 'shutdown', route: 'r', tries: 1, isRead: true, isBegun: true, isWritten: true, isDraining: true, version: 1 })
    t.true(Number(event.drainingForMs) >= 50)
    t.like(eventsOf(running.log, event.request!), [{ name: 'gatewayAnswered' }])
  }
  t.regex(await (await request(running.metricsUrl)).body.text(), /coltsfootlead_gateway_answers_cut_total\{cause="shutdown"\} 22/)
  for (const caller of callers) caller.destroy()
})

test.serial('a call whose handler throws is logged with the error', async t => {
  const format: CallFormat = { ...platformHeaders, buildHeaders () { throw new Error('headers cannot be built') } }
  await using running = await startConfigurableGateway((request, socket) => socket.end(buildAnswer(request, 'done')), { format })
  running.configure()
  await waitFor(running.isReady, 200)
  await t.throwsAsync(call(running.callerAddress))
  const events = eventsOf(running.log, 'r1')
  t.deepEqual(events.map(({ name }) => name), ['gatewayFailed', 'requestUnanswered'])
  t.like(events[0], { reason: 'internalError', isCut: true, status: undefined })
  t.like(events[1], { cause: 'error', route: 'r', tries: 1, isRead: true, isBegun: false, isDraining: false })
  t.regex(String(events[1]!.error), /headers cannot be built/)
})

test('a booking on a connection that was open when the port closed is refused and not sent on', async t => {
  await using running = await startConfigurableGateway((request, socket) => socket.end(buildAnswer(request, 'done')))
  running.configure()
  await waitFor(running.isReady, 200)
  const [host, port] = running.callerAddress.split(':')
  const socket = net.connect(Number(port), host)
  await once(socket, 'connect')
  await running.gateway.drain()
  socket.write('POST /unsafe/x HTTP/1.1\r\nhost: studio.example\r\nauthorization: Token secret\r\nrequest-id: r1\r\ncontent-length: 0\r\n\r\n')
  const [answer] = await once(socket, 'data')
  t.regex(String(answer), /^HTTP\/1.1 503 [^]*Retry-After: 0\r\n[^]*Connection: close/)
  t.is(running.target.received.length, 0)
})

test('a booking after the port has closed is refused although the timer of the balancer lag fired early', async t => {
  await using running = await startConfigurableGateway((request, socket) => socket.end(buildAnswer(request, 'done')), { lateMs: -20 })
  running.configure()
  await waitFor(running.isReady, 200)
  const [host, port] = running.callerAddress.split(':')
  const socket = net.connect(Number(port), host)
  await once(socket, 'connect')
  await running.gateway.drain()
  socket.write('POST /unsafe/x HTTP/1.1\r\nhost: studio.example\r\nauthorization: Token secret\r\nrequest-id: r1\r\ncontent-length: 0\r\n\r\n')
  const [answer] = await once(socket, 'data')
  t.regex(String(answer), /^HTTP\/1.1 503 /)
  t.is(running.target.received.length, 0)
})

test('a call that is still open when the grace period ends gets an answer', async t => {
  await using running = await startConfigurableGateway(() => {}, { graceMs: 600 })
  running.configure()
  await waitFor(running.isReady, 200)
  const answer = call(running.callerAddress)
  await waitFor(async () => running.target.received.length, 1)
  await running.gateway.drain()
  t.like(await answer, { status: 504, isComplete: true })
  t.like(eventsOf(running.log, 'r1'), [{ name: 'gatewayFailed', reason: 'interrupted', status: 504 }])
})

test('a late timer does not prolong the shutdown beyond the grace period', async t => {
  await using running = await startConfigurableGateway(() => {}, { graceMs: 600, lateMs: 600_000 })
  running.configure()
  await waitFor(running.isReady, 200)
  const answer = call(running.callerAddress)
  await waitFor(async () => running.target.received.length, 1)
  await running.gateway.drain()
  t.is((await answer).status, 504)
})

/** Opens a connection on which no request has been sent yet, and sends a booking on it when asked; resolves with what comes back first. */
async function connectCaller (callerAddress: string) {
  const [host, port] = callerAddress.split(':')
  const socket = net.connect(Number(port), host)
  await once(socket, 'connect')
  return {
    async book () {
      socket.write('POST /unsafe/x HTTP/1.1\r\nhost: studio.example\r\nauthorization: Token secret\r\nrequest-id: r1\r\ncontent-length: 0\r\n\r\n')
      return String((await once(socket, 'data'))[0])
    },
    [Symbol.dispose]: () => { socket.destroy() }
  }
}

// Guards against bookings that are taken too late in the grace period, as it seemed to begin when the process could run again (LOST).
test('a process that stood still when the signal came counts the balancer lag from before that', async t => {
  await using running = await startConfigurableGateway((request, socket) => socket.end(buildAnswer(request, 'done')), { balancerLagMs: 2_800 })
  running.configure()
  await waitFor(running.isReady, 200)
  using caller = await connectCaller(running.callerAddress)
  running.standStill(3_000)
  const drained = running.gateway.drain()
  t.regex(await caller.book(), /^HTTP\/1.1 503 /)
  t.is(running.target.received.length, 0)
  await drained
  t.like(running.log.recent().find(({ name }) => name === 'processDraining'), { openCalls: 0 })
})

// Guards against open calls that are cut without an answer, as the process is killed before it ends them (LOST).
test('a process that stood still when the signal came ends its open calls before the grace period is over', async t => {
  await using running = await startConfigurableGateway(() => {}, { graceMs: 60_000 })
  running.configure()
  await waitFor(running.isReady, 200)
  const answer = call(running.callerAddress)
  await waitFor(async () => running.target.received.length, 1)
  running.standStill(59_000)
  await running.gateway.drain()
  t.like(await answer, { status: 504, isComplete: true })
})

// Guards against requests of cut-off peers that are passed on late in the grace period and cut at its end (LOST).
test('a host that shuts down opens connections for peers as long as it takes requests, and no longer', async t => {
  await using running = await startConfigurableGateway((request, socket) => socket.end(buildAnswer(request, 'done')), { balancerLagMs: 2_800 })
  running.configure()
  await waitFor(running.isReady, 200)
  const askForConnection = async (): Promise<string> => {
    const peer = net.connect(running.internalPort, '127.0.0.1')
    peer.write(`CONNECT ${running.target.address} HTTP/1.1\r\nHost: x\r\n\r\n`)
    const [head] = await once(peer, 'data')
    peer.destroy()
    return String(head).split('\r\n')[0]!
  }
  const drained = running.gateway.drain()
  t.is(await askForConnection(), 'HTTP/1.1 200 Connected')
  running.standStill(2_801)
  t.is(await askForConnection(), 'HTTP/1.1 503 Refused')
  await drained
})

function isListening (address: string): Promise<boolean> {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    const socket = net.connect(Number(port), host)
    socket.once('error', () => resolve(false))
    socket.once('connect', () => {
      socket.destroy()
      resolve(true)
    })
  })
}

// Guards against callers whose next request meets a reset, on a connection whose head had promised that it stays open.
test('a booking behind a stream that outlasts the port is refused on its connection, and not sent on', async t => {
  let end = (): void => {}
  await using running = await startConfigurableGateway((request, socket) => {
    socket.write(buildStreamHead(request) + encodeEvents([1]))
    end = () => { socket.end(encodeEvents([2]) + STREAM_END) }
  })
  running.configure()
  await waitFor(running.isReady, 200)
  const [host, port] = running.callerAddress.split(':')
  const caller = net.connect(Number(port), host)
  let text = ''
  caller.on('data', bytes => { text += bytes })
  const send = (path: string): void => { caller.write(`POST ${path} HTTP/1.1\r\nhost: studio.example\r\nauthorization: Token secret\r\nrequest-id: r1\r\ntoken-usage: 100,40\r\ncontent-length: 0\r\n\r\n`) }
  send('/stream/x')
  await waitFor(async () => text.includes('piece 1'), true)
  const drained = running.gateway.drain()
  running.standStill(51)
  await waitFor(async () => await isListening(running.callerAddress), false)
  end()
  await waitFor(async () => text.endsWith('0\r\n\r\n'), true)
  send('/unsafe/x')
  await once(caller, 'close')
  t.regex(text, /piece 2[^]*0\r\n\r\nHTTP\/1.1 503 [^]*Connection: close/)
  t.is(running.target.received.length, 1)
  await drained
})
