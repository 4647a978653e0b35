/**
 * Types of admission control: which requests start at once, which are queued and which are refused.
 */
import type { RequestRoute } from '../route/types.js'
import type { Account } from '../ticket/types.js'

/** A request that asks to be admitted. */
export interface AdmissionRequest {
  account: Account
  model: string
  /** Maximum number of tokens to generate. */
  tokens: number
  /** Time until the deadline from now, in milliseconds. */
  deadlineMs: number
  /** Aborts when the caller goes away. */
  signal: AbortSignal
}

/** Result of a request for admission, with the time that it was queued or the reason of its refusal. */
export type AdmissionResult =
  | { kind: 'admitted', route: RequestRoute, waitedMs: number }
  | { kind: 'refused', reason: 'accountLimit' | 'overloaded' | 'callerGone', facts: Record<string, unknown>, retryAfterMs?: number }

/** Admission control of one entry. */
export interface Admission {
  /** Resolves when the request may start, or is refused. */
  admit: (request: AdmissionRequest) => Promise<AdmissionResult>
}

/** Rank of an entry among all entries, by which limits are divided among them. */
export interface EntryRank {
  /** Number of entries, including this one. */
  entries: number
  /** From 0, in the order of the entries' names. */
  rank: number
}
