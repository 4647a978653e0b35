/**
 * What one target of the soak does with requests and orders. It runs what it says that it runs:
 * the ledger is what the checks go by.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'

/** What became of one request at one target. */
export interface LedgerEntry {
  requestId: string
  targetId: string
  service: string
  atMs: number
  /** Whether the target began to work on it. */
  hasRun: boolean
}

/** State of one target. */
export interface TargetState {
  id: string
  bornMs: number
  layers: { from: number, to: number } | undefined
  orders: number
  isBusy: boolean
  isUp: boolean
  leavingSinceMs: number | undefined
  renewals: number
  /** Current path of each stream by its request. */
  streams: Map<string, string>
}

/** What a target's handler works with. */
export interface TargetHandlerOptions {
  service: string
  ledger: LedgerEntry[]
  random: () => number
  /** Writes the target's entry. */
  renew: () => void
  /** Address of the first stage of a path that is not up with those layers. */
  findFaultyStage: (path: string) => string | undefined
}

/** Time of one load of layers, of a plain request's work and between two events, in milliseconds. */
const LOAD_MS = 300
const WORK_MS = 30
const EVENT_MS = 12

/** Longest answer of a stream, in events. */
const MOST_EVENTS = 40

/** Shares of plain requests that fail, and whose answer breaks off after the work. */
const FAILED_SHARE = 0.03
const BROKEN_SHARE = 0.02

/** Events of a request's whole answer; the same at every engine. */
export function countEvents (requestId: string): number {
  return 5 + [...requestId].reduce((sum, character) => sum + character.charCodeAt(0), 0) % MOST_EVENTS
}

/** The handler of one target's requests. */
export function createTargetHandler (state: TargetState, options: TargetHandlerOptions): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
  const { service, ledger, random, renew, findFaultyStage } = options

  return async function serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.on('error', () => { /* The caller's side is checked, not this one. */ })
    const body = await readText(request)
    if (!state.isUp) {
      response.destroy()
      return
    }
    if (request.url === '/report') return answerJson(response, 200, { born: state.bornMs, sequence: state.orders, busy: state.isBusy, layers: state.layers ?? { from: 0, to: 0 } })
    if (request.url === '/order') return takeOrder(request, response, JSON.parse(body))
    const requestId = String(request.headers['request-id'])
    const note = (hasRun: boolean): void => { ledger.push({ requestId, targetId: state.id, service, atMs: performance.now(), hasRun }) }
    const refuse = (status: number, faulty?: string): void => {
      note(false)
      response.writeHead(status, { 'Request-Id': requestId, 'Not-Executed': '1', ...(faulty === undefined ? {} : { 'At-Server': faulty }), 'Content-Length': 0 }).end()
    }
    if (request.headers['expect-instance'] !== state.id) return refuse(421)
    if (state.leavingSinceMs !== undefined && service === 'model') return refuse(503)
    if (service !== 'model') {
      note(true)
      setTimeout(() => answerPlain(requestId, response), WORK_MS)
      return
    }
    const path = String(request.headers['hop-count'])
    const faulty = findFaultyStage(path)
    if (faulty !== undefined) return refuse(503, faulty)
    note(true)
    state.streams.set(requestId, path)
    response.writeHead(200, { 'Request-Id': requestId, 'Server-Seal': 's', 'Content-Type': 'text/event-stream' })
    sendEvents(requestId, Number(request.headers['last-event-id'] ?? 0), response)
  }

  function answerPlain (requestId: string, response: ServerResponse): void {
    const draw = random()
    if (!state.isUp || draw < BROKEN_SHARE) {
      response.destroy()
      return
    }
    const status = draw < BROKEN_SHARE + FAILED_SHARE ? 500 : 200
    response.writeHead(status, { 'Request-Id': requestId, 'Server-Seal': 's', 'Content-Type': 'text/plain' }).end(`answer to ${requestId}`)
  }

  /** Sends events while every stage of the path is up; a lost stage stalls the stream until it gets another path. */
  function sendEvents (requestId: string, lastEventId: number, response: ServerResponse): void {
    const born = state.bornMs
    let next = lastEventId + 1
    const timer = setInterval(() => {
      const path = state.streams.get(requestId)
      if (!state.isUp || state.bornMs !== born || path === undefined || response.destroyed) {
        clearInterval(timer)
        response.destroy()
        return
      }
      if (findFaultyStage(path) !== undefined) return
      if (next <= countEvents(requestId)) {
        response.write(`id: ${next}\ndata: piece ${next++}\n\n`)
        return
      }
      clearInterval(timer)
      state.streams.delete(requestId)
      response.end()
    }, EVENT_MS)
  }

  function takeOrder (request: IncomingMessage, response: ServerResponse, order: { operation: string, from?: number, to?: number, expect?: number, id?: string, path?: string }): void {
    if (request.headers['expect-instance'] !== state.id) return answerJson(response, 421, {})
    if (order.operation === 'repath') {
      const faulty = findFaultyStage(order.path ?? '')
      if (faulty !== undefined) {
        response.writeHead(503, { 'At-Server': faulty, 'Content-Length': 0 }).end()
        return
      }
      if (!state.streams.has(order.id ?? '')) return answerJson(response, 404, {})
      state.streams.set(order.id!, order.path!)
      return answerJson(response, 200, {})
    }
    if (order.expect !== state.orders || state.isBusy || state.streams.size > 0) return answerJson(response, 409, {})
    state.orders++
    state.isBusy = true
    state.layers = undefined
    const born = state.bornMs
    setTimeout(() => {
      if (state.bornMs !== born || !state.isUp) return
      state.isBusy = false
      state.layers = { from: order.from!, to: order.to! }
      renew()
    }, LOAD_MS)
    answerJson(response, 202, {})
  }
}

function answerJson (response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(body))
}

async function readText (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer)
  } catch {
    // A caller that goes away midway gets no answer; `serve` finds its connection destroyed.
    request.destroy()
  }
  return Buffer.concat(chunks).toString()
}
