/**
 * Answers to callers: a target's answer as it is, or the gateway's own refusal or failure.
 */
import { REASONS, type ReasonName } from '../../verdict/reasons.js'
import type { Call, GatewayContext } from '../types.js'

/** Facts that an own answer is logged with. */
export type AnswerDetails = Record<string, unknown>

/** A target's answer, read to its end. */
export interface WholeAnswer {
  status: number
  rawHeaders: readonly string[]
  body: Buffer
  /** Whether a length or chunks show its end; without them only the end of its connection does. */
  isFramed: boolean
}

/**
 * Sends a target's answer. One whose end was shown by its connection alone may be short, so it
 * gets no length here either and ends with the caller's connection.
 */
export function sendAnswer (call: Call, parts: GatewayContext, answer: WholeAnswer): void {
  const { response } = call
  if (response.headersSent || response.destroyed) return
  const headers = parts.format.buildAnswerHeaders(answer.rawHeaders)
  if (!answer.isFramed) {
    response.useChunkedEncodingByDefault = false
    response.shouldKeepAlive = false
    response.writeHead(answer.status, headers)
    response.end(answer.body)
    return
  }
  headers.push('Content-Length', String(answer.body.length))
  response.writeHead(answer.status, closing(parts, headers))
  response.end(answer.body)
}

/** Ends a call with an answer of the gateway's own, or cuts it when its answer has begun. */
export function endWithReason (call: Call, parts: GatewayContext, reason: ReasonName, details: AnswerDetails & { retryAfterMs?: number }): void {
  const { response, facts, route, account, startedMs } = call
  const { log, metrics, runtime, fleet } = parts
  const { status } = REASONS[reason]
  const isRefusal = status < 500 || status === 503
  log.emit(isRefusal ? 'gatewayRefused' : 'gatewayFailed', {
    request: facts.requestId,
    route: route.name,
    ...(account === undefined ? {} : { account }),
    reason,
    status,
    tookMs: Math.round(runtime.monotonicMs() - startedMs),
    version: fleet.configuration()?.version,
    targetsAgeMs: Math.round(parts.targetsAgeMs()),
    ...details
  })
  metrics.calls.inc({ kind: route.kind, outcome: reason })
  if (response.destroyed) return
  if (response.headersSent) {
    response.destroy()
    return
  }
  writeOwn(call, parts, status, details.retryAfterMs)
}

function writeOwn (call: Call, parts: GatewayContext, status: number, retryAfterMs: number | undefined): void {
  const headers = parts.format.buildRefusalHeaders({ requestId: call.facts.requestId, retryAfterMs })
  call.response.writeHead(status, closing(parts, [...headers, 'Content-Length', '0']))
  call.response.end()
}

/** Asks for the connection to be closed while the process shuts down. */
export function closing (parts: Pick<GatewayContext, 'isDraining'>, headers: string[]): string[] {
  return parts.isDraining() ? [...headers, 'Connection', 'close'] : headers
}
