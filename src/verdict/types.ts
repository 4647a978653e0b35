/**
 * Verdicts and refusals. A verdict states whether a request may have run. Every attempt and every
 * refusal has one, and a call that must not run twice may be attempted again only after `notRun`.
 */
import type { ReasonName } from './reasons.js'

/** Why it is certain that a request did not run. */
export type NotRunProof =
  /** This process sent nothing of the request. */
  | { proof: 'neverSent' }
  /** The target stated that it did not run the request; `target` quotes its answer, as in `status 503`. */
  | { proof: 'refusedByTarget', target: string }

/** Whether a request ran. */
export type Verdict =
  | { kind: 'notRun', because: NotRunProof }
  /** The request may have been sent, and it is not known whether it ran. */
  | { kind: 'mayHaveRun' }
  | { kind: 'ran' }

/** A refusal as the caller receives it and as `explain` finds it later. */
export interface Refusal {
  /** Id by which the caller may ask for an explanation. */
  id: string
  reason: ReasonName
  verdict: Verdict
  /** Facts at the time of the refusal, such as configuration revision, limits and load. */
  facts: Record<string, unknown>
  /** Time after which a retry makes sense, in milliseconds; absent if it never does. */
  retryAfterMs?: number
}
