/**
 * Converts refusals to problem details (RFC 9457).
 */
import { REASONS } from '../reasons.js'
import type { Refusal } from '../types.js'

/** Media type of a problem details body. */
export const PROBLEM_CONTENT_TYPE = 'application/problem+json'

/** Body of the HTTP response for a refusal. */
export interface Problem {
  type: string
  title: string
  status: number
  /** URN that contains the id of the refusal. */
  instance: string
  /** Number of the reason. */
  reason: number
  /** Kind of the verdict: `notRun`, `mayHaveRun` or `ran`. */
  verdict: string
  facts: Record<string, unknown>
  retryAfterMs?: number
}

/**
 * @name toProblem
 * @summary Returns the problem details of a refusal.
 * @param refusal - The refusal.
 * @returns A body to send as `application/problem+json`.
 *
 * @example
 * const problem = toProblem(createRefusal('overloaded'))
 * response.writeHead(problem.status)
 */
export function toProblem (refusal: Refusal): Problem {
  const { number, status, title } = REASONS[refusal.reason]
  return {
    type: `urn:coltsfootlead:reason:${number}`,
    title,
    status,
    instance: `urn:coltsfootlead:refusal:${refusal.id}`,
    reason: number,
    verdict: refusal.verdict.kind,
    facts: refusal.facts,
    ...(refusal.retryAfterMs === undefined ? {} : { retryAfterMs: refusal.retryAfterMs })
  }
}
