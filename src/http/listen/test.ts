import { once } from 'node:events'
import net from 'node:net'
import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { listen } from './index.js'

const GET = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n'

/** More than the buffers of a connection on the loopback interface hold. */
const LARGE_BODY_BYTES = 32 * 1024 * 1024

/** Idle connections outlast every test, so only the server's shutdown closes them. */
const OPTIONS = { address: '127.0.0.1', port: 0, idleTimeoutMs: 600_000 }

/** Connects to a server and sends bytes; `received` resolves with all that came when the connection has closed. */
function connect (address: string, bytes: string) {
  const [host, port] = address.split(':')
  const socket = net.connect(Number(port), host)
  const chunks: Buffer[] = []
  socket.on('data', chunk => { chunks.push(chunk) })
  socket.on('error', () => {})
  socket.write(bytes)
  return { socket, received: new Promise<string>(resolve => { socket.once('close', () => resolve(Buffer.concat(chunks).toString('latin1'))) }) }
}

/** A value that is awaited before it is known. */
function defer<T> () {
  let resolve: (value: T) => void = () => {}
  const promise = new Promise<T>(_resolve => { resolve = _resolve })
  return { promise, resolve }
}

test('a connection whose answer ends after the port was closed is closed and takes no further request', async t => {
  const begun = defer<() => void>()
  await using server = await listen(async (_request, response) => {
    response.write('begun')
    begun.resolve(() => response.end('ended'))
  }, OPTIONS)
  const { received } = connect(server.address, GET)
  const end = await begun.promise
  server.stopAccepting()
  end()
  t.regex(await received, /begun[^]*ended\r\n0\r\n\r\n$/)
})

// Guards against callers that meet a reset, as their next request crosses the close of a connection that was promised to stay open.
test('a connection whose answer ends after the port was closed lingers for a next request', async t => {
  const clock = createManualRuntime()
  const begun = defer<() => void>()
  let requests = 0
  await using server = await listen(async (_request, response) => {
    if (requests++ > 0) {
      response.writeHead(503, { 'content-length': 0, connection: 'close' }).end()
      return
    }
    response.write('begun')
    begun.resolve(() => response.end('ended'))
  }, { ...OPTIONS, linger: { forMs: 300, runtime: clock } })
  const [sending, silent] = [connect(server.address, GET), connect(server.address, '')]
  const end = await begun.promise
  server.stopAccepting()
  end()
  await once(sending.socket, 'data')
  while (clock.pendingTimers() === 0) await clock.settle()
  await clock.advance(299)
  sending.socket.write(GET)
  t.regex(await sending.received, /begun[^]*ended\r\n0\r\n\r\nHTTP\/1.1 503 /)
  await server.whenClosed(new AbortController().signal)
  silent.socket.destroy()
})

test('a connection that lingers is closed when no request comes, and that is waited for', async t => {
  const clock = createManualRuntime()
  const begun = defer<() => void>()
  await using server = await listen(async (_request, response) => {
    response.write('begun')
    begun.resolve(() => response.end('ended'))
  }, { ...OPTIONS, linger: { forMs: 300, runtime: clock } })
  const { received } = connect(server.address, GET)
  const end = await begun.promise
  server.stopAccepting()
  let isClosed = false
  const closed = server.whenClosed(new AbortController().signal).then(() => { isClosed = true })
  end()
  while (clock.pendingTimers() === 0) await clock.settle()
  t.false(isClosed)
  await server.whenClosed(AbortSignal.abort())
  await clock.advance(300)
  t.regex(await received, /ended\r\n0\r\n\r\n$/)
  await closed
  t.true(isClosed)
})

test('closing the port does not cut an answer that a slow caller still reads', async t => {
  const ended = defer<void>()
  await using server = await listen(async (_request, response) => {
    response.end(Buffer.alloc(LARGE_BODY_BYTES))
    ended.resolve()
  }, OPTIONS)
  const { socket, received } = connect(server.address, GET)
  socket.pause()
  await ended.promise
  server.stopAccepting()
  socket.resume()
  t.true((await received).length > LARGE_BODY_BYTES)
})

for (const [name, bytes] of [['stray bytes', '\0stray'], ['a malformed request', 'GET\r\n\r\n']] as const) {
  test(`an answer survives ${name} on its connection`, async t => {
    const arrived = defer<() => void>()
    await using server = await listen(async (_request, response) => { arrived.resolve(() => response.end('whole')) }, OPTIONS)
    const { socket, received } = connect(server.address, GET)
    const answer = await arrived.promise
    await new Promise(resolve => { socket.write(bytes, resolve) })
    await new Promise(resolve => { setTimeout(resolve, 50) })
    answer()
    t.regex(await received, /whole$/)
  })
}

test('a pipelined request is not handled before the answer ahead of it has ended', async t => {
  const handled: string[] = []
  const arrived = defer<() => void>()
  await using server = await listen(async (request, response) => {
    handled.push(request.url!)
    if (request.url === '/first') arrived.resolve(() => response.end('first'))
    else response.end('second')
  }, OPTIONS)
  const { socket, received } = connect(server.address, 'GET /first HTTP/1.1\r\nhost: a\r\n\r\nGET /second HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n')
  const answer = await arrived.promise
  await new Promise(resolve => { setTimeout(resolve, 50) })
  t.deepEqual(handled, ['/first'])
  answer()
  t.regex(await received, /first[^]*second/)
  socket.destroy()
})

test('a pipelined request behind an answer that closes the connection is never handled', async t => {
  const handled: string[] = []
  await using server = await listen(async (request, response) => {
    handled.push(request.url!)
    response.writeHead(200, { connection: 'close' }).end('first')
  }, OPTIONS)
  const { received } = connect(server.address, 'POST /first HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\nPOST /second HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n')
  t.regex(await received, /first/)
  t.deepEqual(handled, ['/first'])
})

test('a pipelined request whose caller leaves is never handled', async t => {
  const handled: string[] = []
  const arrived = defer<() => void>()
  await using server = await listen(async (request, response) => {
    handled.push(request.url!)
    arrived.resolve(() => response.destroy())
  }, OPTIONS)
  const { socket, received } = connect(server.address, `${GET}${GET}`)
  const cut = await arrived.promise
  socket.destroy()
  await received
  cut()
  await new Promise(resolve => { setTimeout(resolve, 50) })
  t.is(handled.length, 1)
})
