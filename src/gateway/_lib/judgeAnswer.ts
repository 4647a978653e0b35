/**
 * Decides from the head of an answer what it says of the request that was sent: whose answer it is
 * comes first, since a faulty target may send an answer to another request. One that is not this
 * request's own leaves open whether the request ran.
 */
import type { AnswerMetadata, CallFacts } from '../types.js'

/** Status codes that claim that the call did not run; without the header that proves it the claim is not trusted. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503])

/** What the head of an answer says of a request. */
export type AnswerVerdict =
  /** The answer to the request; its body is still to be read. */
  | { kind: 'answer' }
  /** The target did not run the request. */
  | { kind: 'notRun', faultyAddress: string | undefined }
  /** The request may have run, and there is no answer that could be passed on. */
  | { kind: 'unusable', cause: string }

/** The head of an answer, and what its request allows. */
export interface AnswerHead {
  status: number
  metadata: AnswerMetadata
  isEncoded: boolean
  /** Whether the request may run again; a wrong claim that it did not run then does no harm. */
  isRepeatable: boolean
}

/** Whose answer it is by the id that it repeats; `unnamed` if it repeats none although the request has one. */
export function identifyAnswer ({ requestId }: Pick<AnswerMetadata, 'requestId'>, facts: Pick<CallFacts, 'requestId'>): 'own' | 'another' | 'unnamed' {
  const sentId = facts.requestId === '' ? undefined : facts.requestId
  if (requestId === sentId) return 'own'
  return requestId === undefined ? 'unnamed' : 'another'
}

/**
 * Judges an answer by its head.
 *
 * @example
 * judgeAnswer({ status: 503, metadata, isEncoded: false, isRepeatable: false }, call.facts)
 */
export function judgeAnswer ({ status, metadata, isEncoded, isRepeatable }: AnswerHead, facts: Pick<CallFacts, 'requestId'>): AnswerVerdict {
  const owner = identifyAnswer(metadata, facts)
  if (owner === 'another') return { kind: 'unusable', cause: 'answer has another request id' }
  if (owner === 'unnamed') {
    // A target may turn a request away before it has read its id.
    return metadata.isNotRun && isRepeatable ? { kind: 'notRun', faultyAddress: undefined } : { kind: 'unusable', cause: 'answer without a request id' }
  }
  if (metadata.isNotRun) return { kind: 'notRun', faultyAddress: metadata.faultyAddress }
  if (isEncoded || !metadata.isSigned) return { kind: 'unusable', cause: 'answer unsigned or encoded' }
  if (NOT_RUN_STATUSES.has(status)) return { kind: 'unusable', cause: `status ${status} without proof that the call did not run` }
  return { kind: 'answer' }
}
