/**
 * What a request is likely to cost, as far as earlier answers tell.
 */

/** Expected cost of one request. */
export interface ExpectedCost {
  /** Mean of the tokens that will be made; 0 for a plain service. */
  outputTokens: number
  /** Tokens that nine of ten such requests stay below. */
  highOutputTokens: number
  /** Milliseconds of work at a plain target of usual speed; `undefined` for a stream, or while nothing was learned. */
  workMs: number | undefined
  /** Answers that the estimate rests on, in the narrowest group that it uses. */
  answers: number
}
