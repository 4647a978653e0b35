/**
 * Policies that choose the next stage: by flow share, and common load-balancing policies to compare it with.
 */
import type { Placement } from '../../ticket/types.js'
import type { LoadView, Policy, PolicyName } from '../types.js'

/** Flow assumed for a target without flow, so that it is chosen only when there is no other. */
const MIN_FLOW_TOKENS_PER_S = 0.001

/** Largest lag behind the furthest target that a target may catch up on, in seconds of its own flow. */
const MAX_LAG_S = 2

const POLICIES: Record<PolicyName, (load: LoadView) => Policy> = {
  flowShare: createFlowShare,
  roundRobin: createRoundRobin,
  random: load => candidates => pickRandom(candidates, load),
  twoChoices: load => candidates => findLowest([pickRandom(candidates, load), pickRandom(candidates, load)], placement => load.inFlight(placement.target)),
  leastOutstanding: load => candidates => findLowest(rotateRandomly(candidates, load), placement => load.inFlight(placement.target))
}

/**
 * @name createPolicy
 * @summary Creates a policy that chooses the next stage.
 * @param name - Name of the policy.
 * @param load - The load that this process has given to targets.
 * @returns The policy, with state of its own.
 *
 * @example
 * const pick = createPolicy('flowShare', load)
 */
export function createPolicy (name: PolicyName, load: LoadView): Policy {
  return POLICIES[name](load)
}

/**
 * Stride scheduling by flow share, corrected by outstanding tokens: the score of a target is the
 * time that it needs at its flow for all tokens assigned to it so far (its pass), plus the time
 * for its outstanding tokens and the delay of its link. The target with the lowest score is chosen.
 */
function createFlowShare (load: LoadView): Policy {
  const passS = new Map<string, number>()
  return (candidates, tokens) => {
    const flow = (placement: Placement): number => Math.max(load.flowTokensPerS(placement.target), MIN_FLOW_TOKENS_PER_S)
    const passes = candidates.flatMap(placement => passS.get(placement.target) ?? [])
    const highestS = Math.max(0, ...passes)
    for (const placement of candidates) if (!passS.has(placement.target)) passS.set(placement.target, highestS)
    const pass = (placement: Placement): number => Math.max(passS.get(placement.target)!, highestS - MAX_LAG_S)
    const score = (placement: Placement): number =>
      pass(placement) + (load.outstandingTokens(placement.target) + tokens) / flow(placement) + load.linkDelayMs(placement.target) / 1_000
    const chosen = findLowest(rotateRandomly(candidates, load), score)
    passS.set(chosen.target, pass(chosen) + tokens / flow(chosen))
    return chosen
  }
}

/** Takes the candidates in turn, separately for each first layer. */
function createRoundRobin (): Policy {
  const next = new Map<number, number>()
  return candidates => {
    const { fromLayer } = candidates[0]!
    const turn = next.get(fromLayer) ?? 0
    next.set(fromLayer, turn + 1)
    return candidates[turn % candidates.length]!
  }
}

function pickRandom (candidates: readonly Placement[], load: LoadView): Placement {
  return candidates[Math.floor(load.random() * candidates.length)]!
}

/** Rotates the candidates to begin with a random one, so that equal scores do not favour the first. */
function rotateRandomly (candidates: readonly Placement[], load: LoadView): Placement[] {
  const start = Math.floor(load.random() * candidates.length)
  return [...candidates.slice(start), ...candidates.slice(0, start)]
}

function findLowest (candidates: readonly Placement[], score: (placement: Placement) => number): Placement {
  let lowest = candidates[0]!
  let lowestScore = Infinity
  for (const placement of candidates) {
    const value = score(placement)
    if (value >= lowestScore) continue
    lowest = placement
    lowestScore = value
  }
  return lowest
}
