/**
 * Construction of refusals, so that each carries an identity, a reason and the facts.
 */
import { randomUUID } from 'node:crypto'
import type { ReasonName } from '../reasons.js'
import type { Refusal, Verdict } from '../types.js'

/** Verdict of a request of which nothing left this process. */
export const NEVER_SENT: Verdict = { kind: 'notRun', because: { proof: 'neverSent' } }

/** What a refusal may carry besides its reason. */
export interface CreateRefusalOptions {
  /** `notRun` because nothing was sent, unless given. */
  verdict?: Verdict
  facts?: Record<string, unknown>
  retryAfterMs?: number
  /** Identity; a random one unless given. */
  id?: string
}

/**
 * @name createRefusal
 * @summary A refusal with its identity.
 * @param reason - Name of the reason in the catalogue.
 * @param options - Verdict, facts, time to come back, identity.
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
