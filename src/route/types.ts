/**
 * Routing: the maximum throughput of the engines of a model, and the choice of stages by it.
 */
import type { PickStage } from '../pipeline/types.js'
import type { ModelScope, Placement, Target } from '../ticket/types.js'

/** A directed edge of a flow network; nodes are numbered from 0. */
export interface FlowEdge {
  from: number
  to: number
  capacity: number
}

/** A maximum flow. */
export interface MaxFlow {
  value: number
  /** Flow of each edge, in the order of the given edges. */
  flows: number[]
}

/** Throughput of the engines of a model together. */
export interface FlowShares {
  /** Upper bound on the tokens per second of any choice of chains. */
  boundTokensPerS: number
  /** Tokens per second through each target when the bound is reached; targets without flow are absent. */
  tokensPerS: ReadonlyMap<string, number>
}

/** A model, its targets, and which of them are usable. */
export interface FlowInput {
  model: ModelScope
  targets: ReadonlyMap<string, Target>
  isUsable: (target: string) => boolean
}

/** Names of the policies that choose among stages. */
export const POLICY_NAMES = ['flowShare', 'roundRobin', 'random', 'twoChoices', 'leastOutstanding'] as const

/** Name of a policy that chooses among stages. */
export type PolicyName = typeof POLICY_NAMES[number]

/** Load and flow of targets as a policy reads them; load is that of this process alone. */
export interface LoadView {
  /** Chains of this process that run through a target. */
  inFlight: (target: string) => number
  /** Tokens that those chains may still produce. */
  outstandingTokens: (target: string) => number
  /** Flow of the model that a target should carry, in tokens per second. */
  flowTokensPerS: (target: string) => number
  /** Delay that the outgoing link of a target adds to each token, in milliseconds. */
  linkDelayMs: (target: string) => number
  /** Uniform number in [0, 1). */
  random: () => number
}

/** Chooses one of the stages that may come next for an answer of at most `tokens` tokens. */
export type Policy = (candidates: readonly Placement[], tokens: number) => Placement

/** The stages of one request, counted as load until disposal. */
export interface RequestRoute extends Disposable {
  pick: PickStage
  /** Records that one token arrived, which lowers the outstanding tokens. */
  recordToken: () => void
}

/** Chooses chains for the requests of one process. */
export interface Router {
  /** Starts the route of a request for at most `tokens` tokens of a model. */
  begin: (model: string, tokens: number) => RequestRoute
  /** Throughput bound of a model with the targets that are usable now. */
  boundTokensPerS: (model: string) => number
  /** Tokens that the requests of this process may still produce for a model. */
  outstandingTokens: (model: string) => number
  /** Recomputes the flow shares on changes of configuration and targets until the signal aborts. */
  follow: (signal: AbortSignal) => Promise<void>
}
