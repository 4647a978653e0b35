/**
 * Records the rate of requests that an answer names for its target.
 */
import type { AnswerMetadata, Call, GatewayContext } from '../types.js'

/** Records what an answer says of the rate of its target; one that belongs to another request says nothing. */
export function noteLimit ({ requestId, limitPerS }: AnswerMetadata, { facts }: Call, targetId: string, { targetLimits, log, metrics }: Pick<GatewayContext, 'targetLimits' | 'log' | 'metrics'>): void {
  if (requestId !== facts.requestId) return
  if (limitPerS === 'malformed') {
    log.emit('answerFieldInvalid', { request: facts.requestId, target: targetId, field: 'limitPerS' })
    metrics.invalidFields.inc({ field: 'limitPerS' })
    return
  }
  targetLimits.note(targetId, limitPerS)
}
