/**
 * Records what a target says of itself in the headers of its answers: the rate of requests that it
 * takes, and that it wants none from this host for a time.
 */
import type { AnswerMetadata, Call, GatewayContext } from '../types.js'

/** Statuses of an answer that turns a request away; only there does a time to retry speak of the target itself. */
const TURNED_AWAY_STATUSES = new Set([429, 503])

interface StatementContext extends Pick<GatewayContext, 'targetLimits' | 'targetPauses' | 'log' | 'metrics'> {}

/** Records what an answer says of its target; one that belongs to another request says nothing. */
export function noteStatements ({ requestId, limitPerS, retryAfterMs }: AnswerMetadata, status: number, { facts }: Call, targetId: string, context: StatementContext): void {
  if (requestId !== facts.requestId) return
  if (limitPerS === 'malformed') reportMalformed('limitPerS')
  else context.targetLimits.note(targetId, limitPerS)
  if (!TURNED_AWAY_STATUSES.has(status)) context.targetPauses.noteTaken(targetId)
  else if (retryAfterMs === 'malformed') reportMalformed('retryAfterMs')
  else if (retryAfterMs !== undefined) context.targetPauses.note(targetId, retryAfterMs, { request: facts.requestId, status })

  function reportMalformed (field: 'limitPerS' | 'retryAfterMs'): void {
    context.log.emit('answerFieldInvalid', { request: facts.requestId, target: targetId, field })
    context.metrics.invalidFields.inc({ field })
  }
}
