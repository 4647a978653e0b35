import { connect, type Socket } from 'node:net'
import test from 'ava'
import type { Target } from '../../src/fleet/types.js'
import { buildAnswer, servePlatformEngine } from '../../standin/platform/servePlatformEngine/index.js'
import { startTestGateway } from '../fakes/startTestGateway.js'

const target = (address: string): Target => ({ id: 'i-1', service: 'orders', address, failureDomain: 'north', bornMs: 1, isLeaving: false, slots: 6 })

/** A connection of a caller that records what it reads. */
function openCaller (address: string): { socket: Socket, untilRead: (pattern: RegExp) => Promise<void> } {
  const [host, port] = address.split(':')
  const socket = connect(Number(port), host)
  let read = ''
  let check = (): void => {}
  socket.on('error', () => {})
  socket.on('data', bytes => {
    read += bytes.toString('latin1')
    check()
  })
  return {
    socket,
    untilRead: pattern => new Promise(resolve => {
      check = () => { if (pattern.test(read)) resolve() }
      check()
    })
  }
}

const headOf = (path: string, ...headers: string[]): string => ['POST ' + path + ' HTTP/1.1', 'Host: studio.example', 'Request-Id: r1', ...headers, '', ''].join('\r\n')

const KEY = 'Authorization: Token secret'
const BODY_BYTES = 400_000
const CHUNK = `${(1_000).toString(16)}\r\n${'x'.repeat(1_000)}\r\n`

/** Requests that are answered before their body has arrived. */
const EARLY_ANSWERS: Array<[number, string, string]> = [
  [408, headOf('/unsafe/x', KEY, 'Deadline-Ms: 20', 'Content-Length: 60000') + 'x', 'x'.repeat(59_999)],
  [408, headOf('/unsafe/x', KEY, 'Deadline-Ms: 20', 'Transfer-Encoding: chunked') + CHUNK, `${CHUNK.repeat(400)}0\r\n\r\n`],
  [413, headOf('/unsafe/x', KEY, `Content-Length: ${BODY_BYTES}`) + 'x', 'x'.repeat(BODY_BYTES - 1)],
  [413, headOf('/unsafe/x', KEY, 'Transfer-Encoding: chunked') + CHUNK.repeat(100), `${CHUNK.repeat(400)}0\r\n\r\n`],
  [404, headOf('/nowhere/x', KEY, `Content-Length: ${BODY_BYTES}`) + 'x', 'x'.repeat(BODY_BYTES - 1)],
  [401, headOf('/unsafe/x', `Content-Length: ${BODY_BYTES}`) + 'x', 'x'.repeat(BODY_BYTES - 1)]
]

for (const [status, begin, rest] of EARLY_ANSWERS) {
  test(`a connection is read on after a ${status} to a request with ${/chunked/.test(begin) ? 'chunks' : 'a length'}`, async t => {
    await using engine = await servePlatformEngine((request, socket) => { socket.end(buildAnswer(request, 'done')) })
    await using gateway = await startTestGateway([target(engine.address)])
    const { socket, untilRead } = openCaller(gateway.address)
    socket.write(begin)
    await untilRead(new RegExp(`^HTTP/1.1 ${status} `))
    socket.write(rest + headOf('/unsafe/x', KEY, 'Content-Length: 0'))
    await untilRead(/HTTP\/1.1 200 [^]*done$/)
    socket.destroy()
    t.is(engine.received.length, 1)
  })
}

test('a connection is read on after a 503 of a gateway without a configuration', async t => {
  await using gateway = await startTestGateway([], { configuration: undefined })
  const { socket, untilRead } = openCaller(gateway.address)
  socket.write(`${headOf('/unsafe/x', KEY, `Content-Length: ${BODY_BYTES}`)}x`)
  await untilRead(/^HTTP\/1.1 503 /)
  socket.write('x'.repeat(BODY_BYTES - 1) + headOf('/unsafe/x', KEY, 'Content-Length: 0'))
  await untilRead(/HTTP\/1.1 503 [^]*HTTP\/1.1 503 /)
  socket.destroy()
  t.pass()
})

test('a connection whose body has no end is closed after an early answer', async t => {
  for (const path of ['/unsafe/x', '/nowhere/x']) {
    await using gateway = await startTestGateway([])
    const { socket } = openCaller(gateway.address)
    const isClosed = new Promise<void>(resolve => { socket.once('close', () => resolve()) })
    socket.write(headOf(path, KEY, 'Transfer-Encoding: chunked'))
    const send = (): void => { if (!socket.destroyed) socket.write(CHUNK.repeat(64), () => setImmediate(send)) }
    send()
    await isClosed
  }
  t.pass()
})
