import test from 'ava'
import type { Target } from '../../src/fleet/types.js'
import { buildStreamHead, encodeChunk, encodeEvents, servePlatformEngine, STREAM_END, type EngineScript } from '../../standin/platform/servePlatformEngine/index.js'
import { startTestGateway } from '../fakes/startTestGateway.js'

const engine = (id: string, address: string, from: number, to: number): Target => ({
  id, service: 'model', address, failureDomain: id.slice(0, 1), bornMs: 1, isLeaving: false, kind: 'large', slots: 134, layers: { from, to }
})

/** Streams the four events of an answer, or those after the last event that the request names. */
const WHOLE_STREAM: EngineScript = (request, socket) => {
  const first = Number(request.headers['last-event-id'] ?? 0) + 1
  socket.end(buildStreamHead(request) + encodeEvents([1, 2, 3, 4].filter(id => id >= first)) + STREAM_END)
}

/** Sends one stream; the engine of its first try answers as scripted, the next one streams what is missing. */
async function sendStream (script: EngineScript, headers: Record<string, string> = {}) {
  await using first = await servePlatformEngine(script)
  await using second = await servePlatformEngine(WHOLE_STREAM)
  const stages = [[0, 30], [30, 60], [60, 80]] as const
  await using gateway = await startTestGateway([first, second].flatMap(({ address }, index) => stages.map(([from, to]) => engine(`${'ab'[index]}-${from}`, address, from, to))))
  const { body, status, isComplete } = await gateway.send('/stream/x', headers)
  return { status, isComplete, ids: [...body.matchAll(/^id: (\d+)\r?$/gm)].map(match => Number(match[1])), resumedAfter: second.received.map(({ headers }) => headers['last-event-id']) }
}

const WHOLE = { status: 200, isComplete: true, ids: [1, 2, 3, 4], resumedAfter: ['2'] }

test('a stream does not end as complete when its end arrives together with an event that does not follow', async t => {
  const rest = { gap: encodeEvents([4]), repeat: encodeEvents([2]), withoutId: encodeChunk('data: piece 3\n\n'), gapThenOthers: encodeEvents([4, 3, 4]) }
  for (const [name, events] of Object.entries(rest)) {
    t.deepEqual(await sendStream((request, socket) => { socket.end(buildStreamHead(request) + encodeEvents([1, 2]) + events + STREAM_END) }), WHOLE, name)
  }
  const events = [1, 2, 4].map(id => `id: ${id}\ndata: piece ${id}\n\n`).join('')
  const head = (requestId: string): string => `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nServer-Seal: s.1\r\nContent-Length: ${events.length}\r\n\r\n`
  t.deepEqual(await sendStream((request, socket) => { socket.end(head(request.headers['request-id']!) + events) }), WHOLE, 'with a length')
})

test('a caller that resumes a stream gets neither what it has nor a gap from an engine that begins elsewhere', async t => {
  for (const ids of [[1, 2, 3, 4], [2, 3, 4], [4]]) {
    const answer = await sendStream((request, socket) => { socket.end(buildStreamHead(request) + encodeEvents(ids) + STREAM_END) }, { 'last-event-id': '2' })
    t.deepEqual(answer, { ...WHOLE, ids: [3, 4] }, String(ids))
  }
})

test('a body over the limit is not taken for whole when its end arrives together with the part over it', async t => {
  const body = 'x'.repeat(16 * 2 ** 20 + 10)
  await using target = await servePlatformEngine((request, socket) => { socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: ${request.headers['request-id']}\r\nServer-Seal: s.1\r\nContent-Length: ${body.length}\r\n\r\n${body}`) })
  await using gateway = await startTestGateway([{ ...engine('orders-1', target.address, 0, 30), service: 'orders', layers: undefined }])
  const { status, body: received } = await gateway.send('/safe/x')
  t.deepEqual([status, received.length], [502, 0])
})
