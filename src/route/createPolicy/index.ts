/**
 * Ways to choose the next stage: by flow share, and the usual ones to compare it with.
 */
import type { Placement } from '../../ticket/types.js'
import type { LoadView, Policy, PolicyName } from '../types.js'

/** Flow of a target that carries none in the plan, so that it is chosen only for want of others. */
const LEAST_FLOW_TOKENS_PER_S = 0.001

/** How far the shares of the past are made up for, in seconds of a target's own flow. */
const MEMORY_S = 2

const POLICIES: Record<PolicyName, (load: LoadView) => Policy> = {
  flowShare: createFlowShare,
  roundRobin: createRoundRobin,
  random: load => candidates => draw(candidates, load),
  twoChoices: load => candidates => findLeast([draw(candidates, load), draw(candidates, load)], part => load.inFlight(part.target)),
  leastOutstanding: load => candidates => findLeast(shuffle(candidates, load), part => load.inFlight(part.target))
}

/**
 * @name createPolicy
 * @summary A way to choose the next stage.
 * @param name - Which one.
 * @param load - The load that this process has given to targets.
 * @returns The policy, with memory of its own.
 *
 * @example
 * const pick = createPolicy('flowShare', load)
 */
export function createPolicy (name: PolicyName, load: LoadView): Policy {
  return POLICIES[name](load)
}

/**
 * Stride scheduling by flow share, corrected by what is outstanding: the score of a target is
 * the time that its share needs for what it was given, plus the time for what it still owes.
 */
function createFlowShare (load: LoadView): Policy {
  const passS = new Map<string, number>()
  return (candidates, tokens) => {
    const flow = (part: Placement): number => Math.max(load.flowTokensPerS(part.target), LEAST_FLOW_TOKENS_PER_S)
    const passes = candidates.flatMap(part => passS.get(part.target) ?? [])
    const highestS = Math.max(0, ...passes)
    for (const part of candidates) if (!passS.has(part.target)) passS.set(part.target, highestS)
    const pass = (part: Placement): number => Math.max(passS.get(part.target)!, highestS - MEMORY_S)
    const score = (part: Placement): number =>
      pass(part) + (load.outstandingTokens(part.target) + tokens) / flow(part) + load.linkDelayMs(part.target) / 1_000
    const chosen = findLeast(shuffle(candidates, load), score)
    passS.set(chosen.target, pass(chosen) + tokens / flow(chosen))
    return chosen
  }
}

function createRoundRobin (): Policy {
  const next = new Map<number, number>()
  return candidates => {
    const { fromLayer } = candidates[0]!
    const turn = next.get(fromLayer) ?? 0
    next.set(fromLayer, turn + 1)
    return candidates[turn % candidates.length]!
  }
}

function draw (candidates: readonly Placement[], load: LoadView): Placement {
  return candidates[Math.floor(load.random() * candidates.length)]!
}

/** The candidates from a random one on, so that equal scores do not favour the first. */
function shuffle (candidates: readonly Placement[], load: LoadView): Placement[] {
  const start = Math.floor(load.random() * candidates.length)
  return [...candidates.slice(start), ...candidates.slice(0, start)]
}

function findLeast (candidates: readonly Placement[], score: (part: Placement) => number): Placement {
  let least = candidates[0]!
  let leastScore = Infinity
  for (const part of candidates) {
    const value = score(part)
    if (value >= leastScore) continue
    least = part
    leastScore = value
  }
  return least
}
