/**
 * Remembers when traits of requests were last answered, for a bounded number of traits.
 */
import { isWholeRequest, traitKey, type Trait } from './listTraits.js'

/** Times of answers by trait. */
export interface AnswerMemory {
  /** Records an answer at a monotonic time in milliseconds. */
  record: (trait: Trait, atMs: number) => void
  /** Monotonic time of the latest answer in milliseconds, `-Infinity` if none is known. */
  latestMs: (trait: Trait) => number
  /** Whether an answer shows that a crash at a time had another cause. */
  isVoid: (trait: Trait, crashedMs: number) => boolean
}

/** How long an answer to a part of prompts shows that a crash after it had another cause, in milliseconds. */
export const ANSWER_VALID_MS = 60_000

/** The same for a whole request, in milliseconds; what it asks for may have changed since, and one that many callers send is answered more often. */
const WHOLE_ANSWER_VALID_MS = 10_000

/** Most traits of each kind that are remembered; callers choose them. */
const MAX_ANSWERED = 4_096

/** Creates a memory without answers. Whole requests push out no parts, since each request is a new one of those. */
export function createAnswerMemory (): AnswerMemory {
  /** The trait that was answered last is at the end. */
  const timesMs = { whole: new Map<string, number>(), part: new Map<string, number>() }
  const timesOf = (trait: Trait): Map<string, number> => isWholeRequest(trait) ? timesMs.whole : timesMs.part
  const latestMs = (trait: Trait): number => timesOf(trait).get(traitKey(trait)) ?? -Infinity
  return {
    latestMs,
    record (trait, atMs) {
      const next = Math.max(atMs, latestMs(trait))
      const answeredMs = timesOf(trait)
      answeredMs.delete(traitKey(trait))
      answeredMs.set(traitKey(trait), next)
      if (answeredMs.size > MAX_ANSWERED) answeredMs.delete(answeredMs.keys().next().value!)
    },
    isVoid: (trait, crashedMs) => latestMs(trait) + (isWholeRequest(trait) ? WHOLE_ANSWER_VALID_MS : ANSWER_VALID_MS) > crashedMs
  }
}
