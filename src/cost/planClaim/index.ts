/**
 * Cache that an answer in progress counts for. When engines are full of streams, each of them grows
 * while others end, so the sum of the sizes at which they will end is never in use at one time: it
 * would leave a sixth of the cache empty. The sum of what they hold now would preempt streams, most
 * of all where prompts are short. What counts is the most that streams like this one will hold at
 * one time, on average, with those that have ended by then.
 */
import { fitLogNormal, shareAbove } from '../_lib/logNormal.js'
import type { ExpectedCost } from '../types.js'

/** An answer in progress. */
export interface AnswerInProgress {
  promptTokens: number
  madeTokens: number
  /** Largest number of tokens of the whole answer. */
  maxTokens: number
}

/** What an answer counts for until it has made so many tokens. */
export interface PlannedClaim {
  tokens: number
  untilTokens: number
}

/** Step after which a claim is planned again, as a share of the expected length and of what was made: a few times in a stream. */
const STEP_SHARE = 1 / 3

/** Points of the future that are compared, as shares of the expected length, and how many. */
const POINT_SHARE = 0.125
const MAX_POINTS = 32

/**
 * @name planClaim
 * @summary Plans the tokens that an answer counts for until its next step.
 * @param estimate - What was expected of the whole answer.
 * @param answer - The answer so far.
 * @returns Number of tokens, at least those held until the next step, and where that step is.
 *
 * @example
 * planClaim(estimate, { promptTokens: 800, madeTokens: 40, maxTokens: 600 })
 */
export function planClaim (estimate: Pick<ExpectedCost, 'outputTokens' | 'highOutputTokens'>, { promptTokens, madeTokens, maxTokens }: AnswerInProgress): PlannedClaim {
  const untilTokens = madeTokens + Math.max(1, STEP_SHARE * Math.max(estimate.outputTokens, madeTokens))
  const heldTokens = Math.max(madeTokens, Math.min(untilTokens, maxTokens))
  let tokens = promptTokens + heldTokens
  if (estimate.outputTokens <= 0) return { tokens, untilTokens }
  const distribution = fitLogNormal(estimate.outputTokens, estimate.highOutputTokens)
  // Claims of streams that end before the step are released at once, so those that reach it have to count for them.
  const goingOn = shareAbove(distribution, heldTokens)
  if (goingOn <= 0) return { tokens, untilTokens }
  for (let point = 1; point <= MAX_POINTS; point++) {
    const later = heldTokens + point * POINT_SHARE * estimate.outputTokens
    if (later > maxTokens) break
    tokens = Math.max(tokens, (promptTokens + later) * shareAbove(distribution, later) / goingOn)
  }
  return { tokens, untilTokens }
}
