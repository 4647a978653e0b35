/**
 * Request handler of one target in the soak test: it answers requests and orders, and records each
 * request in the ledger that the checks use.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { reset } from './startProxy.js'

/** Record of one request at one target. */
export interface LedgerEntry {
  requestId: string
  targetId: string
  service: string
  /** Parts of its prompt, without their sizes. */
  promptParts: string[]
  atMs: number
  /** Whether the target began to work on it. */
  hasRun: boolean
  /** How it ended; `closed` if the gateway closed the connection while the target was at work. */
  outcome: 'running' | 'answered' | 'shed' | 'brokenOff' | 'closed'
  /** Monotonic time of its end, in milliseconds. */
  endedMs: number
  /** Time for which the target then wanted no requests from the host, in milliseconds. */
  pauseMs: number
  /** Whether the target said in its answer that it leaves. */
  saidLeaving: boolean
  /** How long before the request the store had accepted that the target leaves, in milliseconds; 0 if it had not. */
  leavingForMs: number
  /** Whether the target wrote another answer beside its own. */
  isMixed: boolean
}

/**
 * Ways in which a faulty target answers: it writes an earlier request's refusal before its answer, writes its answer
 * or an earlier request's once more after it, or ends a resumed stream without an event.
 */
export const STUTTERS = ['refusalBefore', 'answerAgain', 'otherAnswerAfter', 'resumesEmpty'] as const
export type Stutter = typeof STUTTERS[number]

/** State of one target. */
export interface TargetState {
  id: string
  /** Time of day of the target's last start, in milliseconds. */
  bornMs: number
  layers: { from: number, to: number } | undefined
  /** Number of orders accepted since the start. */
  orders: number
  isBusy: boolean
  isUp: boolean
  leavingSinceMs: number | undefined
  /** When the store accepted that the target leaves. */
  storeToldMs: number | undefined
  stutter: Stutter | undefined
  /** Id of the previous request that was answered. */
  lastRequestId: string | undefined
  /** Until when the target sends nothing, although it is up. */
  silentUntilMs: number
  /** Whether the target is full and refuses requests without running them, and the longest pause that it asks for then, in milliseconds; 0 to ask for none. */
  isShedding: boolean
  maxPauseMs: number
  /** Number of times the target broke off all its streams. */
  breakOffCount: number
  renewalCount: number
  /** Current path of each stream by request id. */
  pathsByRequest: Map<string, string>
}

/** Options of a target's handler. */
export interface TargetHandlerOptions {
  service: string
  ledger: LedgerEntry[]
  random: () => number
  /** Renews the target's entry in the store. */
  renewEntry: () => void
  /** Returns the address of the first stage of a path that is down or does not hold its layers. */
  findFaultyStage: (path: string) => string | undefined
  /** Ends the target if a prompt crashes engines; returns whether it did. */
  crashUnder: (promptParts: readonly string[]) => boolean
}

/** Time to load layers, to run a plain request, and between two events, in milliseconds. */
const LOAD_MS = 300
const WORK_MS = 30
const EVENT_MS = 12

/** Ratio of answers that have neither a length nor chunks and end with their connection, and of plain ones with a length. */
const UNFRAMED_RATIO = 0.3
const LENGTH_RATIO = 0.4

/** Milliseconds in a second. */
const MS_PER_S = 1_000

/** Number of different stream lengths; a stream has 5 to 44 events. */
const STREAM_LENGTHS = 40

/** Beginning of the id of a request with a long stream, and its number of events; it lasts longer than the hosts' grace period. */
export const LONG_STREAM_PREFIX = 'long'
const LONG_STREAM_EVENTS = 750

/** Ratios of plain requests that fail, and of those whose connection is destroyed after they ran. */
const FAILURE_RATIO = 0.03
const ABORT_RATIO = 0.02

/** The whole body of a stream, from one event on. */
export function buildEvents (requestId: string, firstEventId = 1): string {
  return Array.from({ length: Math.max(0, countEvents(requestId) + 1 - firstEventId) }, (_, index) => buildEvent(firstEventId + index)).join('')
}

const buildEvent = (id: number): string => `id: ${id}\ndata: piece ${id}\n\n`

/** Number of events in the whole answer to a request; the same at every engine. */
export function countEvents (requestId: string): number {
  return requestId.startsWith(LONG_STREAM_PREFIX) ? LONG_STREAM_EVENTS : 5 + [...requestId].reduce((sum, character) => sum + character.charCodeAt(0), 0) % STREAM_LENGTHS
}

/** Creates the request handler of one target. */
export function createTargetHandler (state: TargetState, options: TargetHandlerOptions): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
  const { service, ledger, random, renewEntry, findFaultyStage, crashUnder } = options

  return async function serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.on('error', () => { /* The checks use what the caller received. */ })
    const body = await readText(request)
    if (!state.isUp) {
      response.destroy()
      return
    }
    if (request.url === '/report') return sendJson(response, 200, { born: state.bornMs, sequence: state.orders, busy: state.isBusy, layers: state.layers ?? { from: 0, to: 0 } })
    if (request.url === '/order') return handleOrder(request, response, JSON.parse(body))
    const requestId = String(request.headers['request-id'])
    const promptParts = String(request.headers['prompt-prefix'] ?? '').split(',').map(entry => entry.split(':')[0]!)
    const recordRequest = (hasRun: boolean): LedgerEntry => {
      const entry: LedgerEntry = { requestId, targetId: state.id, service, promptParts, atMs: performance.now(), hasRun, outcome: hasRun ? 'running' : 'shed', endedMs: Infinity, pauseMs: 0, saidLeaving: state.leavingSinceMs !== undefined, leavingForMs: state.storeToldMs === undefined ? 0 : performance.now() - state.storeToldMs, isMixed: false }
      const { bornMs } = state
      ledger.push(entry)
      response.once('close', () => {
        entry.endedMs = performance.now()
        if (entry.outcome !== 'running') return
        const path = state.pathsByRequest.get(requestId)
        const hasFailed = !state.isUp || state.bornMs !== bornMs || (path !== undefined && findFaultyStage(path) !== undefined)
        entry.outcome = response.writableFinished ? 'answered' : hasFailed ? 'brokenOff' : 'closed'
      })
      return entry
    }
    const refuseRequest = (status: number, headers: Record<string, string> = {}): LedgerEntry => {
      const entry = recordRequest(false)
      response.writeHead(status, { 'Request-Id': requestId, 'Not-Executed': '1', ...headers, ...ownHeaders(), 'Content-Length': 0 }).end()
      return entry
    }
    if (request.headers['expect-instance'] !== state.id) {
      Object.assign(refuseRequest(421), { saidLeaving: false, leavingForMs: 0 })
      return
    }
    if (state.isShedding) {
      const pauseMs = Math.round(random() * state.maxPauseMs)
      refuseRequest(503, pauseMs === 0 ? {} : { 'Retry-After': String(pauseMs / MS_PER_S) }).pauseMs = pauseMs
      return
    }
    if (state.leavingSinceMs !== undefined && service === 'model') {
      refuseRequest(503)
      return
    }
    if (service !== 'model') {
      const entry = recordRequest(true)
      setTimeout(() => sendPlainAnswer(entry, response), WORK_MS + Math.max(0, state.silentUntilMs - performance.now()))
      return
    }
    const path = String(request.headers['hop-count'])
    const faultyAddress = findFaultyStage(path)
    if (faultyAddress !== undefined) {
      refuseRequest(503, { 'At-Server': faultyAddress })
      return
    }
    const entry = recordRequest(true)
    state.pathsByRequest.set(requestId, path)
    const lastEventId = Number(request.headers['last-event-id'] ?? 0)
    if (lastEventId > 0 && state.stutter === 'resumesEmpty') entry.outcome = 'brokenOff'
    writeHead(entry, response, 200, { 'Content-Type': 'text/event-stream' })
    if (entry.outcome === 'running') sendEvents(entry, lastEventId, response)
    else response.end()
  }

  /** What the target says of itself in each answer. */
  function ownHeaders (): Record<string, string> {
    return state.leavingSinceMs === undefined ? {} : { 'Server-Leaving': '1' }
  }

  function sendPlainAnswer (entry: LedgerEntry, response: ServerResponse): void {
    const { requestId } = entry
    const sample = random()
    if (!state.isUp || sample < ABORT_RATIO) {
      entry.outcome = 'brokenOff'
      response.destroy()
      return
    }
    const status = sample < ABORT_RATIO + FAILURE_RATIO ? 500 : 200
    const body = `answer to ${requestId}`
    writeHead(entry, response, status, { 'Content-Type': 'text/plain', ...(random() < LENGTH_RATIO ? { 'Content-Length': body.length } : {}) })
    response.write(body.slice(0, body.length / 2))
    setTimeout(() => {
      response.write(body.slice(body.length / 2))
      endAnswer(entry, response, status, body)
    }, EVENT_MS)
  }

  /** Sends the head of an answer, at times one without a length or chunks. */
  function writeHead (entry: LedgerEntry, response: ServerResponse, status: number, headers: Record<string, string | number>): void {
    entry.isMixed = state.stutter === 'refusalBefore' && state.lastRequestId !== undefined
    if (entry.isMixed) response.socket?.write(buildAnswer(state.lastRequestId!, '503 Full', '', ['Not-Executed: 1']))
    if (headers['Content-Length'] === undefined && random() < UNFRAMED_RATIO) Object.assign(response, { useChunkedEncodingByDefault: false, shouldKeepAlive: false })
    response.writeHead(status, { 'Request-Id': entry.requestId, 'Server-Seal': 's', ...headers, ...ownHeaders() })
  }

  /** Ends an answer; a target that stutters writes another one behind it. */
  function endAnswer (entry: LedgerEntry, response: ServerResponse, status: number, body: string): void {
    const { requestId } = entry
    const { stutter, lastRequestId } = state
    state.lastRequestId = requestId
    const extra = stutter === 'answerAgain'
      ? buildAnswer(requestId, `${status} Again`, body)
      : stutter === 'otherAnswerAfter' && lastRequestId !== undefined ? buildAnswer(lastRequestId, '200 OK', service === 'model' ? buildEvents(lastRequestId) : `answer to ${lastRequestId}`) : undefined
    if (extra === undefined) {
      response.end()
      return
    }
    entry.isMixed = true
    const { socket } = response
    if (isFramed(response)) {
      response.end()
      socket?.write(extra)
    } else setTimeout(() => response.end(extra), EVENT_MS)
  }

  /** Ends an answer early; only a reset or an incomplete event shows it where the end of the connection would end the body. */
  function breakOff (response: ServerResponse): void {
    if (isFramed(response)) response.destroy()
    else if (random() < 0.5) response.end('id: ')
    else if (response.socket !== null) reset(response.socket)
  }

  /** Sends events while every stage of the path is up; while one is down, the stream pauses until it gets another path. */
  function sendEvents (entry: LedgerEntry, lastEventId: number, response: ServerResponse): void {
    const { requestId } = entry
    const { bornMs: startedMs, breakOffCount } = state
    let nextEventId = lastEventId + 1
    const timer = setInterval(() => {
      const path = state.pathsByRequest.get(requestId)
      if (state.breakOffCount !== breakOffCount && !response.destroyed) entry.outcome = 'brokenOff'
      if (entry.outcome === 'brokenOff' || !state.isUp || state.bornMs !== startedMs || path === undefined || response.destroyed) {
        clearInterval(timer)
        state.pathsByRequest.delete(requestId)
        breakOff(response)
        return
      }
      if (findFaultyStage(path) !== undefined || performance.now() < state.silentUntilMs) return
      if (nextEventId <= countEvents(requestId)) {
        response.write(buildEvent(nextEventId++))
        crashUnder(entry.promptParts)
        return
      }
      clearInterval(timer)
      state.pathsByRequest.delete(requestId)
      endAnswer(entry, response, 200, buildEvents(requestId, lastEventId + 1))
    }, EVENT_MS)
  }

  function handleOrder (request: IncomingMessage, response: ServerResponse, order: { operation: string, from?: number, to?: number, expect?: number, id?: string, path?: string }): void {
    if (request.headers['expect-instance'] !== state.id) return sendJson(response, 421, {})
    if (order.operation === 'repath') {
      const faultyAddress = findFaultyStage(order.path ?? '')
      if (faultyAddress !== undefined) {
        response.writeHead(503, { 'At-Server': faultyAddress, 'Content-Length': 0 }).end()
        return
      }
      if (!state.pathsByRequest.has(order.id ?? '')) return sendJson(response, 404, {})
      state.pathsByRequest.set(order.id!, order.path!)
      return sendJson(response, 200, {})
    }
    if (order.expect !== state.orders || state.isBusy || state.pathsByRequest.size > 0) return sendJson(response, 409, {})
    state.orders++
    state.isBusy = true
    state.layers = undefined
    const startedMs = state.bornMs
    setTimeout(() => {
      if (state.bornMs !== startedMs || !state.isUp) return
      state.isBusy = false
      state.layers = { from: order.from!, to: order.to! }
      renewEntry()
    }, LOAD_MS)
    sendJson(response, 202, {})
  }
}

/** Builds the bytes of a whole answer. */
function buildAnswer (requestId: string, status: string, body: string, headers: string[] = []): string {
  return [`HTTP/1.1 ${status}`, `Request-Id: ${requestId}`, 'Server-Seal: s', ...headers, `Content-Length: ${body.length}`, '', body].join('\r\n')
}

/** Whether something else than the end of the connection ends the body of a response. */
function isFramed (response: ServerResponse): boolean {
  return response.useChunkedEncodingByDefault
}

function sendJson (response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(body))
}

async function readText (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer)
  } catch {
    // The caller disconnected before the end of its body and gets no answer.
    request.destroy()
  }
  return Buffer.concat(chunks).toString()
}
