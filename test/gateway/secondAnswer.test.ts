import test from 'ava'
import { platformHeaders } from '../../platform/headers.js'
import { containsAnswerHead } from '../../src/gateway/_lib/containsAnswerHead.js'
import type { Target } from '../../src/fleet/types.js'
import { buildAnswer, buildStreamHead, encodeChunk, encodeEvents, servePlatformEngine, STREAM_END, type EngineScript, type ReceivedRequest } from '../../standin/platform/servePlatformEngine/index.js'
import { startTestGateway, TEST_CONFIGURATION } from '../fakes/startTestGateway.js'

const plain = (id: string, address: string): Target => ({ id, service: 'orders', address, failureDomain: 'north', bornMs: 1, isLeaving: false, slots: 6 })
const model = (id: string, address: string): Target => ({ ...plain(id, address), service: 'model', kind: 'large', slots: 134, layers: { from: 0, to: 80 } })

/** A model that one engine can hold. */
const configuration = { ...TEST_CONFIGURATION, services: TEST_CONFIGURATION.services.map(service => service.model === undefined ? service : { ...service, model: { ...service.model, layerMb: 100 } }) }

/** The six events of an answer, or those after the last event that the request names. */
const WHOLE_STREAM: EngineScript = (request, socket) => {
  const first = Number(request.headers['last-event-id'] ?? 0) + 1
  socket.end(buildStreamHead(request) + encodeEvents([1, 2, 3, 4, 5, 6].filter(id => id >= first)) + STREAM_END)
}

/** A gateway in front of two targets; it tries the first one first. */
async function startPair (createTarget: typeof plain, firstScript: EngineScript, secondScript: EngineScript) {
  const [first, second] = [await servePlatformEngine(firstScript), await servePlatformEngine(secondScript)]
  const targets = [createTarget('i-1', first.address), { ...createTarget('i-2', second.address), failureDomain: 'south', ...(createTarget === model ? { kind: 'small' } : {}) }]
  const gateway = await startTestGateway(targets, { configuration })
  return {
    first,
    second,
    gateway,
    async [Symbol.asyncDispose] () {
      await gateway[Symbol.asyncDispose]()
      await first[Symbol.asyncDispose]()
      await second[Symbol.asyncDispose]()
    }
  }
}

const startPlain = (script: EngineScript) => startPair(plain, script, (request, socket) => { socket.end(buildAnswer(request, 'second')) })

/** The head of an answer without a length. */
const headOf = (request: ReceivedRequest, status = '200 OK'): string => `HTTP/1.1 ${status}\r\nRequest-Id: ${request.headers['request-id']}\r\nServer-Seal: s.1\r\nConnection: close\r\n\r\n`
const another = (request: ReceivedRequest): ReceivedRequest => ({ ...request, headers: { 'request-id': 'another' } })
const eventsOf = (ids: number[]): string => ids.map(id => `id: ${id}\ndata: piece ${id}\n\n`).join('')

/** What engines may send behind an answer. */
const SECOND_ANSWERS: Array<[string, (request: ReceivedRequest) => string]> = [
  ['the same answer', request => `${headOf(request)}done`],
  ['the same answer with a length', request => buildAnswer(request, 'done')],
  ['an answer to another request', request => buildAnswer(another(request), 'other')],
  ['a refusal of another request', request => buildAnswer(another(request), '', { status: '503 Full', headers: ['Not-Executed: 1'] })],
  ['an error', request => buildAnswer(request, 'failed', { status: '500 Failed' })],
  ['a head whose lines end with LF', request => `${headOf(request)}done`.replaceAll('\r', '')],
  ['a head that is cut in its first line', () => 'HTTP/1.1 2'],
  ['a head that is cut in its second line', () => 'HTTP/1.1 200 OK\r\nReque'],
  ['a head that is cut before its end', request => headOf(request).slice(0, -2)]
]

for (const [name, build] of SECOND_ANSWERS) {
  test(`an answer without a length is not joined with what follows it: ${name}`, async t => {
    for (const body of ['done', 'done\n']) {
      await using pair = await startPlain((request, socket) => { socket.end(headOf(request) + body + build(request)) })
      t.is((await pair.gateway.send('/unsafe/x')).status, 502)
      t.is(pair.second.received.length, 0)
      t.like(await pair.gateway.send('/safe/x'), { status: 200, body: 'second' })
    }
  })
}

test('a body that quotes an answer is passed on', async t => {
  const quoted = 'HTTP/1.1 404 Not Found\r\nContent-Type: text/html\r\n\r\n<html>'
  const bodies = [quoted, `see ${quoted}`, `HTTP/1.1 200 OK, said the server\r\n${quoted}`, 'it speaks HTTP/1.1', 'GET /x HTTP/1.1\r\nRequest-Id: r1\r\n\r\n']
  for (const body of bodies) {
    await using pair = await startPlain((request, socket) => { socket.end(headOf(request) + body) })
    t.like(await pair.gateway.send('/unsafe/x'), { status: 200, body })
  }
})

test('a body with a length may hold a whole answer', async t => {
  let body = ''
  await using pair = await startPlain((request, socket) => {
    body = buildAnswer(request, 'quoted')
    socket.end(buildAnswer(request, body))
  })
  t.like(await pair.gateway.send('/unsafe/x'), { status: 200, body })
})

test('a head is found behind what only looks like one', t => {
  const head = 'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n'
  for (const before of ['HTTP/1.1 200 OK\r\nno header\r\n', 'HTTP/1.1 200 OK\r\nX: 1\r\n\r\n', 'HTTP/1.1 200 OK\r\nX: HTTP/1.1 200 OK\r\n\r\n', 'HTTP/1.1 ', 'HTTP/1.', '\r\n\r\n']) {
    t.true(containsAnswerHead(Buffer.from(before + head + 'done'), platformHeaders), before)
  }
})

/** Joins events 1 to 3 of a stream without a length with what follows them. */
const SECOND_STREAMS: Array<[string, (request: ReceivedRequest) => string]> = [
  ['a second head and further events', request => headOf(request) + eventsOf([4, 5, 6])],
  ['a second head within an event', request => `id: 4\ndata: pie${headOf(request)}${eventsOf([4, 5, 6])}`],
  ['a second head after a line of an event', request => `id: 4\n${headOf(request)}${eventsOf([4, 5, 6])}`],
  ['a second head whose lines end with LF', request => `${headOf(request)}${eventsOf([4, 5, 6])}`.replaceAll('\r', '')],
  ['a head whose lines end with LF within an event', request => `id: 4\ndata: pie${headOf(request)}${eventsOf([4, 5, 6])}`.replaceAll('\r', '')],
  ['an error', request => buildAnswer(request, 'failed', { status: '500 Failed' })],
  ['an answer to another request', request => buildAnswer(another(request), eventsOf([4, 5]))],
  ['text before an event', () => `these bytes are no event\n${eventsOf([4, 5, 6])}`],
  ['a head that is cut', request => headOf(request).slice(0, -2)]
]

for (const [name, build] of SECOND_STREAMS) {
  test(`a stream without a length is not joined with what follows it: ${name}`, async t => {
    await using pair = await startPair(model, (request, socket) => { socket.end(headOf(request) + eventsOf([1, 2, 3]) + build(request)) }, WHOLE_STREAM)
    const answer = await pair.gateway.send('/stream/x')
    t.like(answer, { status: 200, isComplete: true, body: eventsOf([1, 2, 3, 4, 5, 6]) })
    t.is(pair.second.received[0]?.headers['last-event-id'], '3')
  })
}

test('text between the events of a stream in chunks never reaches the caller', async t => {
  await using pair = await startPair(model, (request, socket) => {
    socket.end(buildStreamHead(request) + encodeEvents([1, 2, 3]) + encodeChunk(headOf(request)) + encodeEvents([4, 5, 6]) + STREAM_END)
  }, WHOLE_STREAM)
  t.like(await pair.gateway.send('/stream/x'), { status: 200, isComplete: true, body: eventsOf([1, 2, 3, 4, 5, 6]) })
  t.is(pair.second.received[0]?.headers['last-event-id'], '3')
})
