/**
 * The verdict says whether a request may have run. Every attempt and every refusal carries one,
 * and only `notRun` permits another attempt of a call that may not be repeated.
 */
import type { ReasonName } from './reasons.js'

/** Why it is certain that a request did not run. */
export type NotRunProof =
  | { proof: 'neverSent' }
  | { proof: 'refusedByTarget', target: string }

/** Whether a request ran. */
export type Verdict =
  | { kind: 'notRun', because: NotRunProof }
  | { kind: 'mayHaveRun' }
  | { kind: 'ran' }

/** A refusal as the caller sees it and as `explain` finds it later. */
export interface Refusal {
  /** Identity of this refusal; quoted by the caller when asking for an explanation. */
  id: string
  reason: ReasonName
  verdict: Verdict
  /** What was true when the refusal was decided: revision, limits, loads. */
  facts: Record<string, unknown>
  /** When it makes sense to come back, in milliseconds; absent when it never does. */
  retryAfterMs?: number
}
