import net from 'node:net'
import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createSystemRuntime } from '../../runtime/createSystemRuntime/index.js'
import type { SendOptions } from '../types.js'
import { createHttpService } from './index.js'

const CALL = { method: 'POST', path: '/orders', headers: {}, body: Buffer.from('vinyl') }

/** Starts a server that passes each socket to `onSocket` and keeps them all in `sockets`. */
async function serve (onSocket: (socket: net.Socket) => void) {
  const sockets: net.Socket[] = []
  const server = net.createServer(socket => {
    sockets.push(socket)
    socket.on('error', () => {})
    onSocket(socket)
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`
  const close = async (): Promise<void> => {
    for (const socket of sockets) socket.destroy()
    await new Promise(resolve => { server.close(resolve) })
  }
  return { address, sockets, close, stopListening: () => server.close(), [Symbol.asyncDispose]: close }
}

async function send (address: string, options: Partial<SendOptions> = {}) {
  await using services = createHttpService({ connectTimeoutMs: 500, runtime: createSystemRuntime() })
  return await services.send(address, CALL, { timeoutMs: 5_000, ...options })
}

/** A whole HTTP response. */
const buildResponse = (status: string, body = 'ok'): string => `HTTP/1.1 ${status}\r\ncontent-length: ${body.length}\r\n\r\n${body}`

test('a refused connection is unreachable', async t => {
  const server = await serve(() => {})
  await server.close()
  t.is((await send(server.address)).kind, 'unreachable')
})

test('a connection that is reset on accept is neither answered nor opened again', async t => {
  await using server = await serve(socket => socket.resetAndDestroy())
  t.not((await send(server.address)).kind, 'answered')
  t.is(server.sockets.length, 1)
})

test('a call is lost when its connection is reset after the call was read', async t => {
  await using server = await serve(socket => socket.once('data', () => socket.resetAndDestroy()))
  t.is((await send(server.address)).kind, 'lost')
})

test('a call is lost when its connection closes in the middle of the response', async t => {
  await using server = await serve(socket => socket.once('data', () => socket.end('HTTP/1.1 201 Created\r\ncontent-length: 50\r\n\r\nhalf')))
  t.is((await send(server.address)).kind, 'lost')
})

const UNFRAMED = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf'

test('a call is lost when its service is gone at the end of an answer without a length', async t => {
  await using server = await serve(socket => socket.once('data', () => {
    server.stopListening()
    socket.end(UNFRAMED)
  }))
  t.is((await send(server.address)).kind, 'lost')
})

test('a call is lost when a reset arrives with the last bytes of an answer without a length', async t => {
  await using server = await serve(socket => socket.once('data', () => socket.write(UNFRAMED, () => socket.resetAndDestroy())))
  t.is((await send(server.address)).kind, 'lost')
})

test('an answer without a length is whole when its service goes on', async t => {
  await using server = await serve(socket => socket.once('data', () => socket.end(UNFRAMED)))
  t.like(await send(server.address), { kind: 'answered', status: 200, body: Buffer.from('half') })
})

test('a call is lost when the response is not HTTP', async t => {
  await using server = await serve(socket => socket.once('data', () => socket.end('hello\r\n\r\n')))
  t.is((await send(server.address)).kind, 'lost')
})

test('a call to a silent service is lost at the deadline', async t => {
  const runtime = createManualRuntime()
  let markArrived = (): void => {}
  const arrived = new Promise<void>(resolve => { markArrived = resolve })
  await using server = await serve(socket => socket.once('data', markArrived))
  await using services = createHttpService({ connectTimeoutMs: 500, runtime })
  const result = services.send(server.address, CALL, { timeoutMs: 1_000 })
  await arrived
  await runtime.advance(1_000)
  t.is((await result).kind, 'lost')
})

test('a call cancelled before it connects is unreachable', async t => {
  await using server = await serve(() => {})
  t.is((await send(server.address, { signal: AbortSignal.abort() })).kind, 'unreachable')
})

test('no byte is sent once the call may no longer start', async t => {
  let receivedBytes = 0
  let markClosed = (): void => {}
  const closed = new Promise<void>(resolve => { markClosed = resolve })
  await using server = await serve(socket => {
    socket.on('data', chunk => { receivedBytes += chunk.length })
    socket.on('close', markClosed)
  })
  t.is((await send(server.address, { mayStart: () => false })).kind, 'unreachable')
  await closed
  t.is(receivedBytes, 0)
})

test('a connection that the service keeps open is never reused', async t => {
  await using server = await serve(socket => socket.on('data', () => {
    socket.write(buildResponse('201 Created'))
    socket.removeAllListeners('data')
    socket.pause()
  }))
  await using services = createHttpService({ connectTimeoutMs: 500, runtime: createSystemRuntime() })
  for (const round of [1, 2, 3]) {
    t.like(await services.send(server.address, CALL, { timeoutMs: 5_000 }), { kind: 'answered', status: 201 })
    t.is(server.sockets.length, round)
  }
})

test('a call whose response body exceeds the limit is lost', async t => {
  await using server = await serve(socket => socket.once('data', () => socket.end(buildResponse('200 OK', 'a'.repeat(8_388_609)))))
  t.is((await send(server.address)).kind, 'lost')
})
