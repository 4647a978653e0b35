/**
 * Continues an answer that another entry began. The caller sends the same request again, with the
 * `id` of the last event that it received as `Last-Event-ID`.
 */
import { findSequence } from '../../pipeline/findSequence/index.js'
import { sequenceName, type AnswerRequest } from '../../pipeline/types.js'
import type { ModelScope } from '../../ticket/types.js'
import { createRefusal } from '../../verdict/createRefusal/index.js'
import type { Refusal } from '../../verdict/types.js'
import type { CompletionBody } from '../parseCompletion/index.js'
import { parseLastEventId } from '../parseLastEventId/index.js'
import type { EntryContext } from '../types.js'

/** Retry delay for a caller whose sequence was not found while some engines do not respond, in milliseconds. */
const RETRY_AFTER_MS = 1_000

/** Options of taking over an answer. */
export interface TakeOverAnswerOptions {
  body: CompletionBody
  model: ModelScope
  /** The request as it would be sent if nothing of its answer existed yet. */
  request: AnswerRequest
  context: EntryContext
}

/** The request with the state of its answer so far, or why it cannot be continued. */
export type TakeOverAnswerResult =
  | { kind: 'takenOver', request: AnswerRequest }
  | { kind: 'refused', refusal: Refusal }

/**
 * Looks up on the engines what was already computed of an answer. Where it is not found, the request
 * is continued from the tokens that the caller sent in `given`, or refused if it sent none.
 */
export async function takeOverAnswer (lastEventId: string, options: TakeOverAnswerOptions): Promise<TakeOverAnswerResult> {
  const { body, model, context: { daemon, engines } } = options
  const id = parseLastEventId(lastEventId)
  const givenTokens = (id?.position ?? 0) + 1
  if (id === undefined || !body.stream || (body.given !== undefined && body.given.length !== givenTokens)) {
    const faults = ['Last-Event-ID: expected the id of an event of a streamed answer, and in "given" every token up to it or nothing']
    return { kind: 'refused', refusal: createRefusal('malformedRequest', { facts: { faults } }) }
  }
  const request: AnswerRequest = { ...options.request, request: id.request, earlierAttempt: id.attempt }
  const found = await findSequence(model, {
    sequence: sequenceName(request),
    givenTokens,
    engines,
    directory: daemon.directory,
    timeoutMs: daemon.holder.current().timeouts.connectMs
  })
  const { position } = id
  if (found.kind === 'found') {
    const { attempt, given, computed, ended, keptTargets } = found
    daemon.log.emit('answerTakenOver', { request: id.request, account: request.account, attempt, position, computed: computed.length, keptTargets })
    return { kind: 'takenOver', request: { ...request, given, computed, ended, keptTargets, earlierAttempt: Math.max(attempt, id.attempt) } }
  }
  if (body.given !== undefined) {
    daemon.log.emit('answerTakenOver', { request: id.request, account: request.account, attempt: id.attempt, position, computed: 0, keptTargets: [] })
    return { kind: 'takenOver', request: { ...request, given: body.given } }
  }
  const refusal = createRefusal('sequenceUnknown', {
    verdict: { kind: 'mayHaveRun' },
    facts: { request: id.request, position },
    ...(found.isCertain ? {} : { retryAfterMs: RETRY_AFTER_MS })
  })
  return { kind: 'refused', refusal }
}
