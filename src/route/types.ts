/**
 * Routing: the throughput that the engines of a model allow, and the choice of stages by it.
 */
import type { PickStage } from '../pipeline/types.js'
import type { ModelScope, Placement, Target } from '../ticket/types.js'

/** A directed edge; nodes are numbered from 0. */
export interface FlowEdge {
  from: number
  to: number
  capacity: number
}

/** Result of a maximum flow. */
export interface MaxFlow {
  value: number
  /** Flow of each edge, in the order in which the edges were given. */
  flows: number[]
}

/** What the engines of a model can do together. */
export interface FlowShares {
  /** Tokens a second that no choice of chains can pass. */
  boundTokensPerS: number
  /** Tokens a second that each target carries when the bound is reached; targets without flow are absent. */
  tokensPerS: ReadonlyMap<string, number>
}

/** Engines of a model, and which of them may be used. */
export interface FlowInput {
  model: ModelScope
  targets: ReadonlyMap<string, Target>
  isUsable: (target: string) => boolean
}

/** Names of the ways to choose among stages. */
export const POLICY_NAMES = ['flowShare', 'roundRobin', 'random', 'twoChoices', 'leastOutstanding'] as const

/** Name of a way to choose among stages. */
export type PolicyName = typeof POLICY_NAMES[number]

/** What a policy knows of the load that this process has given to targets. */
export interface LoadView {
  /** Chains of this process that run through a target. */
  inFlight: (target: string) => number
  /** Tokens that those chains may still produce. */
  outstandingTokens: (target: string) => number
  /** Share of the model's flow that a target carries, in tokens a second. */
  flowTokensPerS: (target: string) => number
  /** Time that a target's outgoing link adds to each token. */
  linkDelayMs: (target: string) => number
  /** Uniform number in [0, 1). */
  random: () => number
}

/** Chooses one of the stages that may come next for an answer of at most `tokens` tokens. */
export type Policy = (candidates: readonly Placement[], tokens: number) => Placement

/** The stages of one request, counted as load until disposal. */
export interface RequestRoute extends Disposable {
  pick: PickStage
  /** Notes that one token came, which lowers what is outstanding. */
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
  /** Follows configuration and target changes until the signal aborts. */
  follow: (signal: AbortSignal) => Promise<void>
}
