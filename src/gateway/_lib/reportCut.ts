/**
 * Logs and counts the answers and connections that the gateway ends before the answer is complete,
 * with the state of the call, the configuration and the shutdown at that moment.
 */
import type { ReasonName } from '../../verdict/reasons.js'
import type { Call, CutCause, GatewayContext, OpenRequest } from '../types.js'

type ReportContext = Pick<GatewayContext, 'fleet' | 'log' | 'metrics' | 'runtime' | 'isDraining' | 'drainingForMs' | 'targetsAgeMs'>

/** Reports an answer that had begun and that the gateway cuts. */
export function reportCutAnswer (call: Call, context: ReportContext, { reason, cause }: { reason: ReasonName, cause: CutCause }): void {
  context.log.emit('answerCut', { request: call.facts.requestId, reason, cause, ...describeCall(call, context), ...describeHost(context) })
  context.metrics.answersCut.inc({ cause })
}

/**
 * Reports a request whose connection the gateway closes without a complete answer. The request
 * also gets its final line, unless another module has logged it or will do so (`hasFinalLine`).
 */
export function reportUnanswered (open: OpenRequest, context: ReportContext, { cause, error, hasFinalLine }: { cause: CutCause, error?: unknown, hasFinalLine: boolean }): void {
  const { log, metrics } = context
  const { request, response, call } = open
  const details = call === undefined ? {} : describeCall(call, context)
  if (!hasFinalLine) {
    const reason: ReasonName = cause === 'shutdown' ? 'draining' : 'internalError'
    log.emit('gatewayFailed', { request, reason, cause, isCut: true, ...details, ...describeHost(context) })
    metrics.calls.inc({ kind: call?.route.kind ?? 'none', outcome: reason })
  }
  log.emit('requestUnanswered', {
    request,
    cause,
    ...(error === undefined ? {} : { error: error instanceof Error ? error.stack : String(error) }),
    isRead: call !== undefined,
    isBegun: response.headersSent,
    isWritten: response.writableEnded,
    ...details,
    ...describeHost(context)
  })
  metrics.answersCut.inc({ cause })
}

/** Whether a response is incomplete on a connection that is still open. */
export function isUnanswered ({ response }: OpenRequest): boolean {
  return !response.writableFinished && !response.destroyed && response.socket?.destroyed !== true
}

function describeCall ({ route, account, progress, startedMs, deadlineAtMs }: Call, { runtime }: ReportContext): Record<string, unknown> {
  const nowMs = runtime.monotonicMs()
  return {
    route: route.name,
    ...(account === undefined ? {} : { account }),
    tries: progress.tries,
    lastEventId: progress.lastEventId,
    leftMs: Math.round(deadlineAtMs - nowMs),
    tookMs: Math.round(nowMs - startedMs)
  }
}

function describeHost ({ fleet, isDraining, drainingForMs, targetsAgeMs }: ReportContext): Record<string, unknown> {
  return {
    isDraining: isDraining(),
    drainingForMs: drainingForMs(),
    version: fleet.configuration()?.version,
    versionAgeMs: fleet.configurationAgeMs(),
    targetsAgeMs: Math.round(targetsAgeMs())
  }
}
