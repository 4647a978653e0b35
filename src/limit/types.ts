/**
 * Limits and overload: which requests start, which wait, and which are refused on arrival.
 */
import type { RequestRoute } from '../route/types.js'
import type { Account } from '../ticket/types.js'

/** A request that asks to be admitted. */
export interface AdmissionRequest {
  account: Account
  model: string
  /** Tokens that it may produce at most. */
  tokens: number
  deadlineMs: number
  /** Aborts when the caller goes away. */
  signal: AbortSignal
}

/** Whether a request may start. */
export type AdmissionResult =
  | { kind: 'admitted', route: RequestRoute, waitedMs: number }
  | { kind: 'refused', reason: 'accountLimit' | 'overloaded' | 'callerGone', facts: Record<string, unknown>, retryAfterMs?: number }

/** Decides on arrivals. */
export interface Admission {
  /** Resolves when the request may start, or is refused. */
  admit: (request: AdmissionRequest) => Promise<AdmissionResult>
}

/** Which of the entries this one is, for shares of limits over all of them. */
export interface EntryRank {
  entries: number
  /** From 0, in the order of the entries' names. */
  rank: number
}
