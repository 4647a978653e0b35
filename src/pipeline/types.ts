/**
 * Pipelines: chains of stages whose layer ranges cover every layer of a model once, in order.
 */
import type { OpenStage, RefusalReason } from '../engine/types.js'
import type { Placement } from '../ticket/types.js'
import type { ReasonName } from '../verdict/reasons.js'
import type { Verdict } from '../verdict/types.js'

/** Stages in order of their layers. */
export type Chain = readonly Placement[]

/** Picks one of the stages that may come next; `candidates` is never empty. */
export type PickStage = (candidates: readonly Placement[], chosen: Chain) => Placement

/** A request for an answer, either new or taken over from another entry. */
export interface AnswerRequest {
  request: string
  account: string
  model: string
  prompt: string
  maxTokens: number
  priority: number
  /** Time for the whole answer, in milliseconds. */
  deadlineMs: number
  /** Tokens that the caller already has from another entry; empty for a new request. */
  given: string[]
  /** Highest attempt that another entry may have made; 0 for a new request. */
  earlierAttempt: number
  /** Targets that hold the KV cache of every token in `given`. */
  keptTargets?: string[]
  /** Tokens after `given` that were computed by `earlierAttempt`. */
  computed?: string[]
  /** Whether `computed` ends the answer. */
  ended?: boolean
}

/**
 * Name of a request's sequence on the engines. It contains the account, so that no account can reach
 * the sequence of another by using its request name.
 */
export function sequenceName ({ account, request }: Pick<AnswerRequest, 'account' | 'request'>): string {
  return `${account}/${request}`
}

/** A chain whose stages are all open. */
export interface OpenChain extends AsyncDisposable {
  attempt: number
  chain: Chain
  stages: OpenStage[]
}

/** A stage that did not open. */
export interface OpenFailure {
  target: string
  cause: string
  /** Why the engine refused; absent when it did not respond. */
  reason?: RefusalReason
  /** Highest attempt of the sequence that the engine knows of. */
  attempt?: number
  /** Whether a kept-alive connection may be at fault rather than the target. */
  isConnectionSuspect?: boolean
}

/** Result of opening a chain. */
export type OpenChainResult =
  | { kind: 'open', chain: OpenChain }
  /** `verdict` tells whether this attempt may have run; `failures` is never empty. */
  | { kind: 'failed', failures: OpenFailure[], verdict: Verdict }

/** How an answer ended. */
export type AnswerResult =
  | { kind: 'complete', tokens: number, attempts: number }
  | { kind: 'failed', reason: ReasonName, verdict: Verdict, tokens: number, facts: Record<string, unknown>, retryAfterMs?: number }
