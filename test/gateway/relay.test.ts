import { once } from 'node:events'
import type { IncomingMessage } from 'node:http'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import test from 'ava'
import { buildEngine } from '../fakes/buildFleet.js'
import { createManualRuntime } from '../fakes/createManualRuntime.js'
import { createTestLog } from '../fakes/createTestLog.js'
import { standStillForCaller } from '../fakes/standStill.js'
import { findFraming } from '../../src/gateway/_lib/describeRun.js'
import type { Target } from '../../src/fleet/types.js'
import { openExchange, type Exchange } from '../../src/gateway/_lib/openExchange.js'
import { readAnswerBody } from '../../src/gateway/_lib/readAnswerBody.js'
import { settleAnswerEnd } from '../../src/gateway/_lib/settleAnswerEnd.js'
import { listen } from '../../src/http/listen/index.js'
import { connectSocket } from '../../src/links/connectSocket/index.js'
import { formatLeaving, parseLeaving } from '../../src/links/_lib/leavingHeader.js'
import { createRelayHandler } from '../../src/links/createRelayHandler/index.js'
import { createTargetLinks } from '../../src/links/createTargetLinks/index.js'
import { OwnLinkError } from '../../src/links/types.js'
import { pollInput } from '../../src/runtime/pollInput/index.js'
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'

const runtime = createSystemRuntime()
/** Age at which peers end connections, in milliseconds. */
const MAX_AGE_MS = 20_000

const LAST_WORDS = 'HTTP/1.1 200 OK\r\nServer-Seal: s\r\n\r\nhalf an answer'

interface RelayOptions {
  onAccept?: () => void
  /** Whether the peer knows that the target leaves. */
  isLeaving?: () => boolean
  /** Whether that is so for good; it is by default. */
  hasLeft?: () => boolean
  /** Whether the peer lists the target. */
  isListed?: () => boolean
  /** Whether the peer opens connections. */
  isAccepting?: () => boolean
  furtherRelays?: string[]
}

/** A target, a peer that reaches it, and a host that does not; no time limit of theirs passes. */
async function startRelay (serve: (socket: Socket) => void, { onAccept = () => {}, isLeaving = () => false, hasLeft = isLeaving, isListed = () => true, isAccepting = () => true, furtherRelays = [] }: RelayOptions = {}) {
  const leaving: Array<Pick<Target, 'id' | 'bornMs'>> = []
  const target = createServer(socket => {
    onAccept()
    socket.on('error', () => {})
    socket.once('data', () => serve(socket))
  }).listen(0, '127.0.0.1')
  await once(target, 'listening')
  const address = `127.0.0.1:${(target.address() as AddressInfo).port}`
  const controller = new AbortController()
  const targets = [{ ...buildEngine('i-1', 'north', 'large'), address }]
  const clock = createManualRuntime()
  const options = { targets: () => targets, runtime: clock, log: createTestLog(), signal: controller.signal }
  const connectDirectly = (to: string) => connectSocket(to, { timeoutMs: 100, runtime: clock })
  const peer = createTargetLinks({ ...options, connectDirectly, isReachable: async () => true, relays: () => [] })
  const handler = createRelayHandler({ targets: () => targets.filter(isListed).map(listed => ({ ...listed, isLeaving: isLeaving() })), isAccepting, hasLeft, runtime: clock, maxAgeMs: () => MAX_AGE_MS, connect: peer.connectForPeer, onResult: () => {} })
  const server = await listen(async (_request, response) => { response.end() }, { address: '127.0.0.1', port: 0, onConnect: handler.handle })
  const host = createTargetLinks({ ...options, connectDirectly: () => Promise.reject(new Error('cut')), isReachable: async () => false, relays: () => [server.address, ...furtherRelays], onTargetLeaving: instance => { leaving.push(instance) } })
  return {
    host,
    leaving,
    handler,
    address,
    target: targets[0]!,
    exchange: () => openExchange(address, { method: 'GET', path: '/x', headers: ['Host', 'x', 'Connection', 'close'], body: Buffer.alloc(0), connect: host.connect }),
    async [Symbol.asyncDispose] () {
      controller.abort()
      await handler[Symbol.asyncDispose]()
      await server[Symbol.asyncDispose]()
      target.close()
    }
  }
}

/** Reads the body of an answer that ends with its connection. */
const readBody = (answer: IncomingMessage, exchange: Exchange): Promise<Buffer | undefined> =>
  readAnswerBody(answer, () => settleAnswerEnd({ answer, exchange, run: { target: buildEngine('i-1', 'north', 'large'), sentMs: 0, firstEventMs: undefined, isProvedSound: false, isLinkLost: false, answer: { framing: 'connection', relay: exchange.relay() } } }, { signal: new AbortController().signal }, { isStream: false }, { checkTarget: async () => 'relayed' }))

test('an answer without a length that its target resets is not complete through a peer either', async t => {
  for (const isReset of [true, false]) {
    let resetWhenRead = (): void => {}
    await using relay = await startRelay(socket => {
      if (isReset) socket.write(LAST_WORDS, () => { resetWhenRead = () => socket.resetAndDestroy() })
      else socket.end(LAST_WORDS)
    })
    const exchange = relay.exchange()
    const result = await exchange.result
    if (result.kind !== 'answered') return t.fail(result.kind)
    t.is(findFraming(result.answer, 'GET'), 'connection')
    // A reset that arrives with the last bytes is reported as the end of the connection.
    result.answer.once('data', () => resetWhenRead())
    const body = await readBody(result.answer, exchange)
    t.is(body?.toString(), isReset ? undefined : 'half an answer')
  }
})

test('a target notices through a peer that the host has closed its connection', async t => {
  let noteClosed = (): void => {}
  const closed = new Promise<void>(resolve => { noteClosed = resolve })
  let noteArrival = (): void => {}
  const arrived = new Promise<void>(resolve => { noteArrival = resolve })
  await using relay = await startRelay(socket => {
    socket.once('close', noteClosed)
    noteArrival()
  })
  const exchange = relay.exchange()
  await arrived
  exchange.close('caller left')
  await closed
  t.is((await exchange.result).kind, 'lost')
})

test('a peer connects to listed targets only', async t => {
  await using relay = await startRelay(socket => socket.end(LAST_WORDS))
  await t.throwsAsync(relay.host.connect('127.0.0.1:9'), { message: /status 404/ })
})

test('a peer opens no connection to a target of which it knows that it leaves, and names that target', async t => {
  let accepted = 0
  await using relay = await startRelay(socket => socket.end(LAST_WORDS), { onAccept () { accepted++ }, isLeaving: () => true })
  await t.throwsAsync(relay.host.connect(relay.address), { instanceOf: OwnLinkError, message: /leaves/ })
  t.deepEqual(relay.leaving, [{ id: 'i-1', bornMs: relay.target.bornMs }])
  t.is(accepted, 0)
  t.is(await relay.host.check(relay.target, { isPeerAlwaysAsked: true }), 'unknown')
})

test('a peer passes nothing on to a target that leaves while the connection opens', async t => {
  let isLeaving = false
  const served: Socket[] = []
  await using relay = await startRelay(socket => { served.push(socket) }, { onAccept () { isLeaving = true }, isLeaving: () => isLeaving })
  const exchange = relay.exchange()
  t.like(await exchange.result, { kind: 'notSent', isOwnLink: true })
  t.deepEqual(served, [])
  t.is(relay.leaving.length, 1)
})

test('a peer that does not use a target for a time, or does not list it any more, does not say that it leaves for good', async t => {
  await using held = await startRelay(socket => socket.end(LAST_WORDS), { isLeaving: () => true, hasLeft: () => false })
  await t.throwsAsync(held.host.connect(held.address), { instanceOf: OwnLinkError })
  let isListed = true
  const served: Socket[] = []
  await using removed = await startRelay(socket => { served.push(socket) }, { onAccept () { isListed = false }, isListed: () => isListed })
  t.like(await removed.exchange().result, { kind: 'notSent', isOwnLink: true })
  t.deepEqual([held.leaving, removed.leaving, served], [[], [], []])
})

test('a host that a peer tells of a leaving target asks no further peer', async t => {
  let asked = 0
  await using other = await listen(async (_request, response) => { response.end() }, {
    address: '127.0.0.1',
    port: 0,
    onConnect (_request, stream) {
      asked++
      stream.end('HTTP/1.1 200 Connected\r\n\r\n')
    }
  })
  await using relay = await startRelay(socket => socket.end(LAST_WORDS), { isLeaving: () => true, furtherRelays: [other.address] })
  await t.throwsAsync(relay.host.connect(relay.address))
  t.is(asked, 0)
})

test('a peer can name a leaving target whatever its id, and other values name none', t => {
  const target = { id: 'i:1 é\r\n%', bornMs: 1_764_900_000_123 }
  t.deepEqual(parseLeaving(formatLeaving(target)), target)
  for (const value of ['', 'i-1', '5', '5:', ':i-1', '5:%', '5:a b', 'x:i-1']) t.is(parseLeaving(value), undefined)
})

test('a target that a peer reaches has not ended', async t => {
  await using relay = await startRelay(socket => socket.end(LAST_WORDS))
  t.is(await relay.host.check(relay.target, { isPeerAlwaysAsked: true }), 'relayed')
})

test('a host whose peers could not help lately does not take a target for ended', async t => {
  await using relay = await startRelay(socket => socket.end(LAST_WORDS))
  const controller = new AbortController()
  const host = createTargetLinks({ connectDirectly: () => Promise.reject(new Error('cut')), isReachable: async () => false, relays: () => ['127.0.0.1:1'], targets: () => [relay.target], runtime, log: createTestLog(), signal: controller.signal })
  t.is(await host.check(relay.target, { isPeerAlwaysAsked: true }), 'unknown')
  t.is(await host.check(relay.target, { isPeerAlwaysAsked: true }), 'unknown')
  controller.abort()
})

// Guards against requests that a leaving peer passes on and cuts at the end of its grace period (LOST).
test('a peer that no longer accepts connections passes nothing on, also if it stopped while the connection opened', async t => {
  for (const isAcceptingFirst of [false, true]) {
    let [asked, served] = [0, 0]
    await using relay = await startRelay(() => { served++ }, { isAccepting: () => isAcceptingFirst && asked++ === 0 })
    const error = await t.throwsAsync(relay.host.connect(relay.address), { instanceOf: OwnLinkError })
    t.regex(error.message, /peer: status 503/)
    t.is(served, 0)
  }
})

test('a host that shuts down waits for the connections that it relays', async t => {
  let noteArrival = (_socket: Socket): void => {}
  const arrived = new Promise<Socket>(resolve => { noteArrival = resolve })
  await using relay = await startRelay(socket => noteArrival(socket))
  const exchange = relay.exchange()
  const socket = await arrived
  let isIdle = false
  const idle = relay.handler.whenIdle(new AbortController().signal).then(() => { isIdle = true })
  t.false(isIdle)
  socket.end(LAST_WORDS)
  const result = await exchange.result
  if (result.kind === 'answered') await readBody(result.answer, exchange)
  await idle
  t.true(isIdle)
})

/** A peer before a target that records what it reads; `isLenient`: the target works on when its sender has only half-closed the connection. */
async function startRecordingRelay ({ isLenient = false, untilConnect = Promise.resolve() }: { isLenient?: boolean, untilConnect?: Promise<void> } = {}) {
  const read: string[] = []
  const [asked, arrived, targetClosed] = [createSignal(), createSignal(), createSignal()]
  const target = createServer({ allowHalfOpen: isLenient }, socket => {
    socket.on('error', () => {})
    socket.on('data', bytes => {
      read.push(bytes.toString())
      arrived.note()
    })
    socket.once('close', targetClosed.note)
  }).listen(0, '127.0.0.1')
  await once(target, 'listening')
  const targets = [{ ...buildEngine('i-1', 'north', 'large'), address: `127.0.0.1:${(target.address() as AddressInfo).port}` }]
  const clock = createManualRuntime()
  const handler = createRelayHandler({
    targets: () => targets,
    runtime: clock,
    maxAgeMs: () => MAX_AGE_MS,
    async connect (address) {
      await untilConnect
      return await connectSocket(address, { timeoutMs: 10_000, runtime })
    },
    onResult: () => {}
  })
  const server = await listen(async (_request, response) => { response.end() }, {
    address: '127.0.0.1',
    port: 0,
    onConnect (request, stream, head) {
      handler.handle(request, stream, head)
      asked.note()
    }
  })
  const [host, port] = server.address.split(':')
  const connectRequest = `CONNECT ${targets[0]!.address} HTTP/1.1\r\nHost: x\r\n\r\n`
  return {
    read,
    clock,
    handler,
    asked: asked.promise,
    arrived: arrived.promise,
    targetClosed: targetClosed.promise,
    address: server.address,
    connectRequest,
    /** Asks the peer for a connection. */
    openTunnel () {
      const tunnel = connect(Number(port), host)
      tunnel.write(connectRequest)
      return tunnel
    },
    async [Symbol.asyncDispose] () {
      await handler[Symbol.asyncDispose]()
      await server[Symbol.asyncDispose]()
      target.close()
    }
  }
}

function createSignal (): { promise: Promise<void>, note: () => void } {
  let note = (): void => {}
  const promise = new Promise<void>(resolve => { note = resolve })
  return { promise, note }
}

test('a peer keeps no connection to a target that works on after its host has left', async t => {
  await using relay = await startRecordingRelay({ isLenient: true })
  const tunnel = relay.openTunnel()
  await once(tunnel, 'data')
  tunnel.write('a request')
  await relay.arrived
  tunnel.destroy()
  await relay.handler.whenIdle(new AbortController().signal)
  t.deepEqual(relay.read, ['a request'])
})

for (const leave of ['resetAndDestroy', 'destroy'] as const) {
  test(`a peer closes the connection to a target that opens after its host has left by ${leave}`, async t => {
    const open = createSignal()
    await using relay = await startRecordingRelay({ untilConnect: open.promise })
    const tunnel = relay.openTunnel()
    await relay.asked
    tunnel[leave]()
    await once(tunnel, 'close')
    await pollInput()
    open.note()
    await relay.targetClosed
    t.deepEqual(relay.read, [])
  })
}

test('a peer ends a connection whose host went silent when no call can use it any longer', async t => {
  await using relay = await startRecordingRelay()
  const tunnel = relay.openTunnel()
  await once(tunnel, 'data')
  tunnel.write('a request')
  await relay.arrived
  await relay.clock.advance(MAX_AGE_MS)
  t.false(tunnel.closed)
  await relay.clock.advance(MAX_AGE_MS)
  await relay.targetClosed
  t.deepEqual(relay.read, ['a request'])
})

test('a peer that stood still passes no request on after its host has left', async t => {
  await using relay = await startRecordingRelay()
  await standStillForCaller(relay.address, { greeting: relay.connectRequest, text: 'a request' })
  await relay.targetClosed
  t.deepEqual(relay.read, [])
})
