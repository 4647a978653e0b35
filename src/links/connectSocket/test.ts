import { once } from 'node:events'
import { createServer, type AddressInfo } from 'node:net'
import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createSystemRuntime } from '../../runtime/createSystemRuntime/index.js'
import { connectSocket } from './index.js'

async function listenOnce () {
  const server = createServer(socket => { socket.end('hello') })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` }
}

test('an open connection is returned before its bytes are read', async t => {
  const { server, address } = await listenOnce()
  const socket = await connectSocket(address, { timeoutMs: 5_000, runtime: createSystemRuntime() })
  const [bytes] = await once(socket, 'data') as [Buffer]
  t.is(bytes.toString(), 'hello')
  socket.destroy()
  server.close()
})

test('a refused connection is an error', async t => {
  const { server, address } = await listenOnce()
  server.close()
  await once(server, 'close')
  await t.throwsAsync(connectSocket(address, { timeoutMs: 5_000, runtime: createSystemRuntime() }), { code: 'ECONNREFUSED' })
})

test('a connect without an answer is an error once its time is over', async t => {
  const runtime = createManualRuntime()
  const connecting = connectSocket('192.0.2.1:9', { timeoutMs: 100, runtime })
  connecting.catch(() => {})
  await runtime.advance(100)
  await t.throwsAsync(connecting)
})

test('a reset that arrives with the last bytes is an error, and a close is not', async t => {
  for (const isReset of [true, false]) {
    const server = createServer(peer => peer.once('data', () => { peer.write('last bytes', () => isReset ? peer.resetAndDestroy() : peer.end()) }))
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const socket = await connectSocket(`127.0.0.1:${(server.address() as AddressInfo).port}`, { timeoutMs: 5_000, runtime: createSystemRuntime() })
    let failure: Error | undefined
    socket.on('error', error => { failure = error })
    socket.resume()
    socket.write('a request')
    await new Promise<void>(resolve => { socket.once('close', () => resolve()) })
    server.close()
    t.is(failure?.message, isReset ? 'read ECONNRESET' : undefined)
  }
})
