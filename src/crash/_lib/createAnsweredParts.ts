/**
 * Remembers when parts of prompts were last answered, for a bounded number of parts.
 */

/** Times of answers by part. */
export interface AnsweredParts {
  /** Records an answer at a monotonic time in milliseconds. */
  record: (service: string, part: string, atMs: number) => void
  /** Monotonic time of the latest answer in milliseconds, `-Infinity` if none is known. */
  latestMs: (service: string, part: string) => number
  /** Whether an answer shows that a crash at a time had another cause. */
  isVoid: (service: string, part: string, crashedMs: number) => boolean
}

/** How long an answer shows that a crash after it had another cause, in milliseconds. */
export const ANSWER_VALID_MS = 60_000

/** Most parts that are remembered; callers choose their ids. */
const MAX_ANSWERED = 4_096

/** Key of a part of a service's prompts. */
export const partKey = (service: string, part: string): string => `${service} ${part}`

/** Creates a memory without answers. */
export function createAnsweredParts (): AnsweredParts {
  /** The part that was answered last is at the end. */
  const answeredMs = new Map<string, number>()
  const latestMs = (service: string, part: string): number => answeredMs.get(partKey(service, part)) ?? -Infinity
  return {
    latestMs,
    record (service, part, atMs) {
      const next = Math.max(atMs, latestMs(service, part))
      answeredMs.delete(partKey(service, part))
      answeredMs.set(partKey(service, part), next)
      if (answeredMs.size > MAX_ANSWERED) answeredMs.delete(answeredMs.keys().next().value!)
    },
    isVoid: (service, part, crashedMs) => latestMs(service, part) + ANSWER_VALID_MS > crashedMs
  }
}
