/**
 * Records what a target says of itself in the headers of its answers: the rate of requests that it
 * takes, that it wants none from this host for a time, and that it leaves.
 */
import type { Target } from '../../fleet/types.js'
import type { AnswerMetadata, Call, GatewayContext } from '../types.js'
import { identifyAnswer } from './judgeAnswer.js'

/** Status with which a target turns requests away for its own sake; a time to retry speaks of the target only there, while 429 speaks of the requests. */
const TURNED_AWAY_STATUS = 503

/** Status with which another target at the address of the expected one answers. */
const OTHER_TARGET_STATUS = 421

type StatementContext = Pick<GatewayContext, 'fleet' | 'targetLimits' | 'targetPauses' | 'log' | 'metrics'>

/** Records what an answer says of its target; one that belongs to another request says nothing. Returns whether the target asked for a pause. */
export function noteStatements (metadata: AnswerMetadata, status: number, { facts }: Call, target: Target, context: StatementContext): boolean {
  const { limitPerS, retryAfterMs } = metadata
  const isTurnedAway = status === TURNED_AWAY_STATUS
  // A target may turn a request away before it has read its id; each request has a connection of its own.
  const owner = identifyAnswer(metadata, facts)
  const asked = isTurnedAway && owner !== 'another' ? retryAfterMs : undefined
  if (asked === 'malformed') reportMalformed('retryAfterMs')
  else if (asked !== undefined) context.targetPauses.note(target, asked, { request: facts.requestId })
  noteLeaving({ status, metadata }, target, { request: facts.requestId }, context)
  if (owner === 'own') {
    if (!isTurnedAway) context.targetPauses.noteTaken(target.id)
    if (limitPerS === 'malformed') reportMalformed('limitPerS')
    else context.targetLimits.note(target.id, limitPerS)
  }
  return typeof asked === 'number'

  function reportMalformed (field: 'limitPerS' | 'retryAfterMs'): void {
    context.log.emit('answerFieldInvalid', { request: facts.requestId, target: target.id, field })
    context.metrics.invalidFields.inc({ field })
  }
}

/** Records what a target says to this host in an answer that passes through to a peer; the peer records the rest. */
export function noteRelayedStatements (head: string, target: Target, context: StatementContext & Pick<GatewayContext, 'format'>): void {
  const answer = context.format.readAnswerHead(head)
  if (answer === undefined) return
  const { requestId: request = '', retryAfterMs } = answer.metadata
  noteLeaving(answer, target, { request }, context)
  if (answer.status === TURNED_AWAY_STATUS && typeof retryAfterMs === 'number') context.targetPauses.note(target, retryAfterMs, { request })
}

/** Records that a target leaves, if an answer says so; even a late answer to another request says it of its sender. */
function noteLeaving ({ status, metadata }: { status: number, metadata: AnswerMetadata }, target: Target, { request }: { request: string }, { fleet, log }: StatementContext): void {
  if (!metadata.isLeaving || status === OTHER_TARGET_STATUS || !fleet.recordLeaving(target)) return
  log.emit('targetLeaving', { leavingIds: [target.id], request })
}
