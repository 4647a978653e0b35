/**
 * Answers callers with the unchanged answer of a target, or with a refusal or an error of the
 * gateway itself.
 */
import { cutAnswer } from '../../http/cutAnswer/index.js'
import { REASONS, type ReasonName } from '../../verdict/reasons.js'
import type { Call, CutCause, Framing, GatewayContext } from '../types.js'
import { reportCutAnswer } from './reportCut.js'

/** Additional fields for the log line of an answer. */
export type LogDetails = Record<string, unknown>

/** A target's answer whose body was read completely. */
export interface BufferedAnswer {
  status: number
  rawHeaders: readonly string[]
  body: Buffer
  framing: Framing
}

/** Sends a target's answer, always with its length: a caller can then tell when this process has ended in the middle. */
export function sendAnswer (call: Call, context: GatewayContext, answer: BufferedAnswer): void {
  const { response } = call
  if (response.headersSent || response.destroyed) return
  const headers = context.format.buildAnswerHeaders(answer.rawHeaders)
  if (answer.framing !== 'none') headers.push('Content-Length', String(answer.body.length))
  response.writeHead(answer.status, withConnectionClose(context, headers))
  response.end(answer.body)
}

/** The fields of a call that every final line has, so that logs alone tell who was served and in time. */
export function describeRequest ({ facts, route, account }: Call): LogDetails {
  return {
    request: facts.requestId,
    route: route.name,
    ...(account === undefined ? {} : { account }),
    objectiveMs: route.objectiveMs,
    ...(route.gapObjectiveMs === undefined ? {} : { gapObjectiveMs: route.gapObjectiveMs }),
    ...(facts.promptTokens > 0 ? { promptTokens: facts.promptTokens } : {})
  }
}

/** Details of `endWithReason`: `cutCause` is what ended an answer that had begun; a target's failure by default. */
type EndDetails = LogDetails & { retryAfterMs?: number, cutCause?: CutCause }

/** Ends a call with a status of the gateway itself, or destroys the connection if an answer has already begun. */
export function endWithReason (call: Call, context: GatewayContext, reason: ReasonName, { cutCause = 'targetFailed', ...details }: EndDetails): void {
  const { response, route, startedMs } = call
  const { log, metrics, runtime, fleet } = context
  const { status } = REASONS[reason]
  const isCut = response.headersSent && !response.destroyed
  const isRefusal = !isCut && (status < 500 || status === 503)
  if (isCut) cutAnswer(response)
  else if (!response.destroyed) writeRefusal(call, context, status, details.retryAfterMs)
  log.emit(isRefusal ? 'gatewayRefused' : 'gatewayFailed', {
    ...describeRequest(call),
    reason,
    ...(isCut ? { isCut } : { status }),
    tookMs: Math.round(runtime.monotonicMs() - startedMs),
    version: fleet.configuration()?.version,
    targetsAgeMs: Math.round(context.targetsAgeMs()),
    ...details
  })
  metrics.calls.inc({ kind: route.kind, outcome: reason })
  if (isCut) reportCutAnswer(call, context, { reason, cause: cutCause })
}

/** Ends a call that its deadline has stopped, or before that the end of the grace period; `notRunReason` holds at the deadline if no target ran the call. */
export function endStopped (call: Call, context: GatewayContext, { mayHaveRun, notRunReason, ...details }: LogDetails & { mayHaveRun: boolean, notRunReason: ReasonName }): void {
  const isDeadlinePassed = call.deadlineAtMs <= context.runtime.monotonicMs()
  if (!isDeadlinePassed && context.isDraining()) return endWithReason(call, context, mayHaveRun ? 'interrupted' : 'draining', { ...details, cutCause: 'shutdown', retryAfterMs: 0 })
  endWithReason(call, context, mayHaveRun ? 'deadlinePassed' : notRunReason, { ...details, cutCause: 'deadline' })
}

/** Records the end of a call whose caller has left. */
export function recordCallerGone (call: Call, { runtime, log, metrics }: GatewayContext, details: LogDetails): void {
  const nowMs = runtime.monotonicMs()
  log.emit('callerGone', {
    ...describeRequest(call),
    tookMs: Math.round(nowMs - call.startedMs),
    leftForMs: Math.round(nowMs - (call.callerLeftAtMs ?? nowMs)),
    ...details
  })
  metrics.calls.inc({ kind: call.route.kind, outcome: 'callerGone' })
}

function writeRefusal (call: Call, context: GatewayContext, status: number, retryAfterMs: number | undefined): void {
  const headers = context.format.buildRefusalHeaders({ requestId: call.facts.requestId, retryAfterMs })
  call.response.writeHead(status, withConnectionClose(context, [...headers, 'Content-Length', '0']))
  call.response.end()
}

/** Adds `Connection: close` to the headers while the process shuts down. */
export function withConnectionClose (context: Pick<GatewayContext, 'isDraining'>, headers: string[]): string[] {
  return context.isDraining() ? [...headers, 'Connection', 'close'] : headers
}
