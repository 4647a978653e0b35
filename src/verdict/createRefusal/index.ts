/**
 * Creates refusals, each with an id, a reason, a verdict and the facts behind it.
 */
import { randomUUID } from 'node:crypto'
import type { ReasonName } from '../reasons.js'
import type { Refusal, Verdict } from '../types.js'

/** Verdict of a request of which this process sent nothing. */
export const NEVER_SENT: Verdict = { kind: 'notRun', because: { proof: 'neverSent' } }

/** Optional fields of a refusal. */
export interface CreateRefusalOptions {
  /** Defaults to `NEVER_SENT`. */
  verdict?: Verdict
  /** Facts on which the refusal rests; defaults to none. */
  facts?: Record<string, unknown>
  /** Time after which a retry makes sense, in milliseconds; absent if it never does. */
  retryAfterMs?: number
  /** Defaults to a random UUID. */
  id?: string
}

/**
 * @name createRefusal
 * @summary Creates a refusal with an id.
 * @param reason - Name of the reason in the catalogue.
 * @param options - Verdict, facts, time until a retry, and id.
 * @returns The refusal.
 *
 * @example
 * const refusal = createRefusal('accountLimit', { facts: { inFlight: 12 }, retryAfterMs: 500 })
 */
export function createRefusal (reason: ReasonName, options: CreateRefusalOptions = {}): Refusal {
  const { verdict = NEVER_SENT, facts = {}, retryAfterMs, id = randomUUID() } = options
  return {
    id,
    reason,
    verdict,
    facts,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs })
  }
}
