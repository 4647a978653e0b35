/**
 * Decides whether an answer is whole, for every reader of an answer. A length or a last chunk proves it,
 * whatever happens to the connection. The end of a connection alone proves nothing: the kernel closes the
 * connections of a process that was killed in the same way. What cannot be told is not called whole.
 */
import type { LinkCheck } from '../../links/createTargetLinks/index.js'
import type { Framing } from '../types.js'

/** What is known of an answer when it has ended. */
export interface AnswerEnd {
  framing: Framing
  /** Whether the parser has seen the end that the framing defines. */
  isComplete: boolean
  /** Whether the connection failed, or was closed by this host, before its end was read. */
  hasFailed: boolean
  /** Whether this run brought what the answer must have: at least one event of a stream. Events of an earlier run do not count. */
  hasContent: boolean
  /** Whether the end of the connection is the target's own; a peer that ends can look the same. */
  isEndConfirmed: boolean
  /** What a check of the target showed that began after the end of the connection; `undefined` if there was none. */
  check: LinkCheck | undefined
}

/** `unknown`: nothing tells whether more was to come. */
export type EndVerdict = 'whole' | 'truncated' | 'unknown'

/**
 * @name judgeAnswerEnd
 * @summary Judges the end of an answer.
 * @param end - How it ended.
 * @returns The verdict, or `unchecked` if a check of the target decides; only `whole` may end an answer to a caller as complete.
 *
 * @example
 * judgeAnswerEnd({ framing: 'chunks', isComplete: true, hasFailed: true, hasContent: true, isEndConfirmed: true, check: undefined }) // 'whole'
 */
export function judgeAnswerEnd ({ framing, isComplete, hasFailed, hasContent, isEndConfirmed, check }: AnswerEnd): EndVerdict | 'unchecked' {
  if (!isComplete) return 'truncated'
  if (framing !== 'connection') return hasContent ? 'whole' : 'unknown'
  if (hasFailed) return 'truncated'
  if (!hasContent || !isEndConfirmed) return 'unknown'
  if (check === undefined) return 'unchecked'
  return check === 'reached' || check === 'relayed' ? 'whole' : 'unknown'
}
