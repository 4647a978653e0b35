import test from 'ava'
import type { Target } from '../../src/fleet/types.js'
import { buildAnswer, buildStreamHead, encodeEvents, servePlatformEngine, STREAM_END, type EngineScript, type ReceivedRequest } from '../../standin/platform/servePlatformEngine/index.js'
import { startTestGateway, TEST_CONFIGURATION } from '../fakes/startTestGateway.js'

const model = (id: string, address: string): Target => ({ id, service: 'model', address, failureDomain: 'north', bornMs: 1, isLeaving: false, kind: 'large', slots: 134, layers: { from: 0, to: 80 } })

/** A model that one engine can hold. */
const configuration = { ...TEST_CONFIGURATION, services: TEST_CONFIGURATION.services.map(service => service.model === undefined ? service : { ...service, model: { ...service.model, layerMb: 100 } }) }

const BEGUN = [1, 2].map(id => `id: ${id}\ndata: piece ${id}\n\n`).join('')
const headOf = (request: ReceivedRequest, ...headers: string[]): string => ['HTTP/1.1 200 OK', `Request-Id: ${request.headers['request-id']}`, 'Server-Seal: s.1', 'Content-Type: text/event-stream', ...headers, 'Connection: close', '', ''].join('\r\n')

/** Ways in which a stream breaks off after its second event. */
const BREAKS: Array<[string, EngineScript]> = [
  ['in chunks', (request, socket) => { socket.write(buildStreamHead(request) + encodeEvents([1, 2]), () => socket.resetAndDestroy()) }],
  ['with a length', (request, socket) => { socket.end(headOf(request, 'Content-Length: 500') + BEGUN) }],
  ['without a length', (request, socket) => { socket.end(`${headOf(request)}${BEGUN}id: 3\nda`) }]
]

/** Answers of the next engine that hold no event. */
const ERRORS: Array<[string, (request: ReceivedRequest) => string]> = [
  ['500', request => buildAnswer(request, 'failed', { status: '500 Failed' })],
  ['500 without a length', request => `${headOf(request).replace('200 OK', '500 Failed')}failed`],
  ['503', request => buildAnswer(request, 'full', { status: '503 Full' })],
  ['503 with proof', request => buildAnswer(request, 'full', { status: '503 Full', headers: ['Not-Executed: 1'] })],
  ['400', request => buildAnswer(request, 'wrong', { status: '400 Bad Request' })],
  ['204', request => `${headOf(request).replace('200 OK', '204 No Content')}`],
  ['200 with text', request => buildAnswer(request, 'some text\n\n')],
  ['200 with text in chunks', request => `${buildStreamHead(request)}9\r\nsome text\r\n${STREAM_END}`],
  ['200 with an answer as its text', request => buildAnswer(request, buildAnswer(request, 'failed', { status: '500 Failed' }))]
]

for (const [framing, breakOff] of BREAKS) {
  test(`a stream ${framing} that broke off gets no text of an error, and is not complete`, async t => {
    for (const [name, build] of ERRORS) {
      await using first = await servePlatformEngine(breakOff)
      await using second = await servePlatformEngine((request, socket) => { socket.end(build(request)) })
      await using gateway = await startTestGateway([model('i-1', first.address), { ...model('i-2', second.address), kind: 'small', failureDomain: 'south' }], { configuration })
      // Only a proven refusal is tried again until the deadline.
      const deadlineMs = name === '503 with proof' ? 2_000 : 4_000
      t.like(await gateway.send('/stream/x', { 'deadline-ms': String(deadlineMs) }), { status: 200, body: BEGUN, isComplete: false }, name)
      t.is(second.received[0]?.headers['last-event-id'], '2', name)
    }
  })

  test(`a stream ${framing} that broke off goes on after a refusal`, async t => {
    let refusals = 0
    await using first = await servePlatformEngine(breakOff)
    await using second = await servePlatformEngine((request, socket) => {
      if (refusals++ === 0) return socket.end(buildAnswer(request, 'full', { status: '503 Full', headers: ['Not-Executed: 1'] }))
      socket.end(buildStreamHead(request) + encodeEvents([3, 4]) + STREAM_END)
    })
    await using gateway = await startTestGateway([model('i-1', first.address), { ...model('i-2', second.address), kind: 'small', failureDomain: 'south' }], { configuration })
    t.like(await gateway.send('/stream/x'), { status: 200, body: `${BEGUN}id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n`, isComplete: true })
  })
}
