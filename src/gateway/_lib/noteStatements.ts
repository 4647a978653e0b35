/**
 * Records what a target says of itself in the headers of its answers: the rate of requests that it
 * takes, and that it wants none from this host for a time.
 */
import type { Target } from '../../fleet/types.js'
import type { AnswerMetadata, Call, GatewayContext } from '../types.js'

/** Status with which a target turns requests away for its own sake; a time to retry speaks of the target only there, while 429 speaks of the requests. */
const TURNED_AWAY_STATUS = 503

interface StatementContext extends Pick<GatewayContext, 'targetLimits' | 'targetPauses' | 'log' | 'metrics'> {}

/** Records what an answer says of its target; one that belongs to another request says nothing. */
export function noteStatements (metadata: AnswerMetadata, status: number, { facts }: Call, target: Target, context: StatementContext): void {
  const { requestId, limitPerS, retryAfterMs } = metadata
  const isTurnedAway = status === TURNED_AWAY_STATUS
  // A target may turn a request away before it has read its id; each request has a connection of its own.
  const isOwnAnswer = requestId === facts.requestId
  if (isTurnedAway && (isOwnAnswer || requestId === undefined)) {
    if (retryAfterMs === 'malformed') reportMalformed('retryAfterMs')
    else if (retryAfterMs !== undefined) context.targetPauses.note(target, retryAfterMs, { request: facts.requestId })
  }
  if (!isOwnAnswer) return
  if (!isTurnedAway) context.targetPauses.noteTaken(target.id)
  if (limitPerS === 'malformed') reportMalformed('limitPerS')
  else context.targetLimits.note(target.id, limitPerS)

  function reportMalformed (field: 'limitPerS' | 'retryAfterMs'): void {
    context.log.emit('answerFieldInvalid', { request: facts.requestId, target: target.id, field })
    context.metrics.invalidFields.inc({ field })
  }
}

/** Records what a target asks of this host in an answer that passes through to a peer; the peer records the rest. */
export function noteRelayedStatements (head: string, target: Target, { format, targetPauses }: Pick<GatewayContext, 'format' | 'targetPauses'>): void {
  const answer = format.readAnswerHead(head)
  if (answer?.status !== TURNED_AWAY_STATUS) return
  const { requestId, retryAfterMs } = answer.metadata
  if (typeof retryAfterMs === 'number') targetPauses.note(target, retryAfterMs, { request: requestId ?? '' })
}
