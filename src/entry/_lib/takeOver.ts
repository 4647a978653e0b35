/**
 * Taking over an answer that another entry began, for a caller that sends the same request again
 * with the `id` of the last event that it has.
 */
import { findSequence } from '../../pipeline/findSequence/index.js'
import { sequenceName, type AnswerRequest } from '../../pipeline/types.js'
import type { ModelScope } from '../../ticket/types.js'
import { createRefusal } from '../../verdict/createRefusal/index.js'
import type { Refusal } from '../../verdict/types.js'
import type { CompletionBody } from '../parseCompletion/index.js'
import { parseLastEventId } from '../parseLastEventId/index.js'
import type { EntryContext } from '../types.js'

/** When a caller should come back while some engines do not answer, in milliseconds. */
const RETRY_AFTER_MS = 1_000

/** What taking over works with. */
export interface TakeOverOptions {
  body: CompletionBody
  model: ModelScope
  /** The request as a new one. */
  request: AnswerRequest
  context: EntryContext
}

/** The request as it goes on, or why it cannot. */
export type TakeOverResult =
  | { kind: 'taken', request: AnswerRequest }
  | { kind: 'refused', refusal: Refusal }

/** Finds what the caller has and what the engines hold of its answer. */
export async function takeOver (text: string, options: TakeOverOptions): Promise<TakeOverResult> {
  const { body, model, context: { daemon, engines } } = options
  const id = parseLastEventId(text)
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
    return { kind: 'taken', request: { ...request, given, computed, ended, keptTargets, earlierAttempt: Math.max(attempt, id.attempt) } }
  }
  if (body.given !== undefined) {
    daemon.log.emit('answerTakenOver', { request: id.request, account: request.account, attempt: id.attempt, position, computed: 0, keptTargets: [] })
    return { kind: 'taken', request: { ...request, given: body.given } }
  }
  const refusal = createRefusal('sequenceUnknown', {
    verdict: { kind: 'mayHaveRun' },
    facts: { request: id.request, position },
    ...(found.isCertain ? {} : { retryAfterMs: RETRY_AFTER_MS })
  })
  return { kind: 'refused', refusal }
}
