import type { Socket } from 'node:net'
import test from 'ava'
import type { Target } from '../../src/fleet/types.js'
import { encodeChunk, servePlatformEngine, buildStreamHead, STREAM_END } from '../../standin/platform/servePlatformEngine/index.js'
import { startTestGateway, TEST_CONFIGURATION } from '../fakes/startTestGateway.js'

const MIB = 2 ** 20

/** Bytes that the gateway may keep of one answer, with those that are on their way in buffers of the system. */
const MAX_KEPT_BYTES = 48 * MIB

/** The same for an error. */
const MAX_ERROR_BYTES = 20 * MIB

/** Bytes after which a target stops to send; far more than the gateway may keep. */
const MAX_SENT_BYTES = 256 * MIB

/** Sends bytes until the other side closes the connection; returns how many. */
function sendWithoutEnd (socket: Socket, piece: string): () => number {
  let sentBytes = 0
  const send = (error?: Error | null): void => {
    if (error != null || socket.destroyed || sentBytes >= MAX_SENT_BYTES) return
    sentBytes += piece.length
    socket.write(piece, failure => setImmediate(send, failure))
  }
  send()
  return () => sentBytes
}

const targetAt = (id: string, service: string, address: string): Target => ({ id, service, address, failureDomain: 'north', bornMs: 1, isLeaving: false, slots: 4, ...(service === 'model' ? { kind: 'large', slots: 134, layers: { from: 0, to: 80 } } : {}) })
const configuration = { ...TEST_CONFIGURATION, services: TEST_CONFIGURATION.services.map(service => service.model === undefined ? service : { ...service, model: { ...service.model, layerMb: 100 } }) }

test('an answer without end is given up before it fills the memory', async t => {
  let sentBytes = (): number => 0
  await using engine = await servePlatformEngine((request, socket) => {
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${request.headers['request-id']}\r\nServer-Seal: s\r\nConnection: close\r\n\r\n`)
    sentBytes = sendWithoutEnd(socket, 'x'.repeat(MIB))
  })
  await using gateway = await startTestGateway([targetAt('i-1', 'orders', engine.address)], { configuration })
  t.is((await gateway.send('/unsafe/x')).status, 502)
  t.true(sentBytes() <= MAX_KEPT_BYTES, `${sentBytes()} bytes`)
})

test('an event without end is given up before it fills the memory', async t => {
  let sentBytes = (): number => 0
  await using engine = await servePlatformEngine((request, socket) => {
    socket.write(buildStreamHead(request))
    sentBytes = sendWithoutEnd(socket, encodeChunk('x'.repeat(MIB / 16)))
  })
  await using gateway = await startTestGateway(['i-1', 'i-2'].map(id => targetAt(id, 'model', engine.address)), { configuration })
  t.is((await gateway.send('/stream/x')).status, 502)
  t.true(sentBytes() <= MAX_KEPT_BYTES, `${sentBytes()} bytes`)
})

test('an answer over the size that is kept is not cut to it', async t => {
  await using engine = await servePlatformEngine((request, socket) => {
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${request.headers['request-id']}\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n`)
    for (let sentMib = 0; sentMib < 16; sentMib++) socket.write(encodeChunk('x'.repeat(MIB)))
    socket.end(encodeChunk('x') + STREAM_END)
  })
  await using gateway = await startTestGateway([targetAt('i-1', 'orders', engine.address)], { configuration })
  t.is((await gateway.send('/unsafe/x')).status, 502)
})

// Guards against streams without an event, in short chunks, that stop the event loop (CONFIG, case 3 of the review).
test('an event in very many pieces is given up', async t => {
  await using engine = await servePlatformEngine((request, socket) => {
    socket.end(buildStreamHead(request) + [...`id: 1\ndata: ${'x'.repeat(5_000)}\n\n`].map(encodeChunk).join('') + STREAM_END)
  })
  await using gateway = await startTestGateway(['i-1', 'i-2'].map(id => targetAt(id, 'model', engine.address)), { configuration })
  t.is((await gateway.send('/stream/x')).status, 502)
})

// Guards against errors without end, in short chunks, that fill the heap and end the process (LOST, case 1 of the review).
test('an error without end in short chunks is given up soon', async t => {
  let sentBytes = (): number => 0
  await using engine = await servePlatformEngine((request, socket) => {
    socket.write(buildStreamHead(request).replace('200 OK', '500 Failed'))
    sentBytes = sendWithoutEnd(socket, encodeChunk('z'.repeat(16)).repeat(2_048))
  })
  await using gateway = await startTestGateway(['i-1', 'i-2'].map(id => targetAt(id, 'model', engine.address)), { configuration })
  t.is((await gateway.send('/stream/x')).status, 502)
  t.true(sentBytes() <= MAX_ERROR_BYTES, `${sentBytes()} bytes`)
})
