/**
 * Expected rest of an answer in progress. Under a heavy tail of lengths, the streams that are open
 * are mostly long ones: one that outlives its estimate has more left than the estimate says, and one
 * that is about to end has less.
 */
import { fitLogNormal, meanExcess } from '../_lib/logNormal.js'
import type { ExpectedCost } from '../types.js'

/**
 * @name expectTokensLeft
 * @summary Tokens that an answer is expected to make beyond those it has made, given that it goes on.
 * @param estimate - What was expected of the whole answer.
 * @param madeTokens - Tokens made so far.
 * @param maxTokens - Largest number of tokens of the whole answer.
 * @returns Number of tokens.
 *
 * @example
 * expectTokensLeft({ outputTokens: 170, highOutputTokens: 400 }, 500)
 */
export function expectTokensLeft (estimate: Pick<ExpectedCost, 'outputTokens' | 'highOutputTokens'>, madeTokens: number, maxTokens = Infinity): number {
  const { outputTokens, highOutputTokens } = estimate
  if (outputTokens <= 0 || madeTokens >= maxTokens) return 0
  if (madeTokens <= 0) return Math.min(outputTokens, maxTokens)
  return meanExcess(fitLogNormal(outputTokens, highOutputTokens), madeTokens, maxTokens)
}
