import { once } from 'node:events'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import test from 'ava'
import { createEngineControl } from '../../platform/createEngineControl.js'
import { createPlatformStore } from '../../platform/createPlatformStore.js'
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import { buildEngine } from '../fakes/buildFleet.js'
import { createManualRuntime } from '../fakes/createManualRuntime.js'
import { createTestLog } from '../fakes/createTestLog.js'

const engineAt = (address: string) => ({ ...buildEngine('i-1', 'north', 'small'), address })

/** An answer that keeps its connection. */
const answer = (status: number, body = '', ...headers: string[]): string => [`HTTP/1.1 ${status} X`, ...headers, 'Content-Type: application/json', `Content-Length: ${body.length}`, '', body].join('\r\n')

/** Answers each request on its connection, and keeps the connection open. */
async function startServer (serve: (socket: Socket, request: { index: number, connection: number }) => void) {
  const sockets = new Set<Socket>()
  let requests = 0
  const server = createServer(socket => {
    const connection = sockets.add(socket).size
    socket.on('error', () => {})
    socket.on('data', () => serve(socket, { index: ++requests, connection }))
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    async [Symbol.asyncDispose] () {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}

test('an extra answer of an engine is not taken for that to the next order', async t => {
  const connections: number[] = []
  await using server = await startServer((socket, { connection }) => {
    connections.push(connection)
    socket.write(connection === 1 ? answer(202) + answer(409, '', 'At-Server: 10.0.0.1:1') : answer(200))
  })
  const control = createEngineControl({ runtime: createSystemRuntime(), log: createTestLog() })
  t.deepEqual(await control.repath(engineAt(server.address), 'r1', []), { kind: 'begun' })
  t.deepEqual(await control.repath(engineAt(server.address), 'r2', []), { kind: 'done' })
  t.deepEqual(connections, [1, 2])
})

test('an answer of an engine that comes after the deadline is not taken for that to the next order', async t => {
  let answerLate = (): void => {}
  let noteArrival = (): void => {}
  const arrived = new Promise<void>(resolve => { noteArrival = resolve })
  await using server = await startServer((socket, { connection }) => {
    if (connection > 1) return socket.write(answer(200))
    answerLate = () => { socket.write(answer(409)) }
    noteArrival()
  })
  const runtime = createManualRuntime()
  const control = createEngineControl({ runtime, log: createTestLog() })
  const first = control.repath(engineAt(server.address), 'r1', [])
  await arrived
  await runtime.advance(1_000)
  t.is((await first).kind, 'unknown')
  const second = control.repath(engineAt(server.address), 'r2', [])
  answerLate()
  t.deepEqual(await second, { kind: 'done' })
})

const item = (name: string): string => JSON.stringify({ metadata: { name, revision: 1 }, spec: name })
const open = (address: string, runtime = createSystemRuntime()) => createPlatformStore({ address, callTimeoutMs: 60_000, watchWaitMs: 10, watchGraceMs: 60_000, runtime, onCall: () => {} })

test('an extra answer of the store is not taken for that to the next call', async t => {
  await using server = await startServer((socket, { index }) => { socket.write(answer(200, item(`${index}`)) + answer(200, item('extra'))) })
  await using store = open(server.address)
  for (const name of ['1', '2', '3']) t.like(await store.read('servers/x'), { kind: 'found', object: { value: name } })
})

test('an answer of the store that comes after the deadline is not taken for that to the next call', async t => {
  let answerLate = (): void => {}
  let noteArrival = (): void => {}
  const arrived = new Promise<void>(resolve => { noteArrival = resolve })
  await using server = await startServer((socket, { index }) => {
    if (index > 1) return socket.write(answer(200, item('own')))
    answerLate = () => { socket.write(answer(200, item('late'))) }
    noteArrival()
  })
  const runtime = createManualRuntime()
  await using store = open(server.address, runtime)
  const first = store.read('servers/x')
  await arrived
  await runtime.advance(60_000)
  t.is((await first).kind, 'unavailable')
  const second = store.read('servers/x')
  answerLate()
  t.like(await second, { kind: 'found', object: { value: 'own' } })
})
