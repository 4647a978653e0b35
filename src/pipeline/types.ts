/**
 * Pipelines: chains of stages whose layer ranges cover a model once, in order.
 */
import type { OpenStage, RefusalReason } from '../engine/types.js'
import type { Placement } from '../ticket/types.js'
import type { ReasonName } from '../verdict/reasons.js'
import type { Verdict } from '../verdict/types.js'

/** Stages in order of their layers. */
export type Chain = readonly Placement[]

/** Picks one of the stages that may come next; `candidates` is never empty. */
export type PickStage = (candidates: readonly Placement[], chosen: Chain) => Placement

/** One request for an answer. */
export interface AnswerRequest {
  request: string
  account: string
  model: string
  prompt: string
  maxTokens: number
  priority: number
  /** Time for the whole answer, in milliseconds. */
  deadlineMs: number
  /** Tokens that the caller already has, from an earlier attempt at another entry. */
  given: string[]
  /** Highest attempt that may have been made before; 0 for a new request. */
  earlierAttempt: number
  /** Targets that hold the KV cache of every token given. */
  keptTargets?: string[]
  /** Tokens after those given that `earlierAttempt` computed. */
  computed?: string[]
  /** Whether those end the answer. */
  ended?: boolean
}

/**
 * Identity of a request's sequence on engines. It contains the account, so that no account can
 * reach the sequence of another by naming its request.
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
  /** Why the engine refused, and the attempt that it has seen. */
  reason?: RefusalReason
  attempt?: number
  /** Whether the connection may be at fault and not the target. */
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
