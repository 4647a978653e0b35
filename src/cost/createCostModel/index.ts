/**
 * Learns what requests cost from the answers to those that looked alike. It is meant for loads whose
 * requests differ a hundredfold in length, whose lengths change with the time of day, and whose
 * callers send estimates of any quality.
 *
 * Each narrower group of requests corrects the wider one: the account and the shared part of the
 * prompt correct the route. A correction is shrunk while it rests on few answers.
 */
import { hashText } from '../../path/hashLoadKey/index.js'
import type { Runtime } from '../../runtime/types.js'
import { meanExcess, quantile90 } from '../_lib/logNormal.js'
import { addValue, createMoments, weightAt, type Moments } from '../_lib/moments.js'
import { expectTokensLeft } from '../expectTokensLeft/index.js'
import type { ExpectedCost } from '../types.js'

/** What makes requests alike. */
export interface CostTraits {
  route: string
  account: string | undefined
  /** Parts of the prompt that other requests share, in order. */
  sharedParts: readonly string[]
}

/** A request for a stream. */
export interface StreamTraits extends CostTraits {
  /** Mean output of the model, in tokens. */
  usualTokens: number
  maxTokens: number
  /** The caller's estimate, in tokens. */
  hintedTokens: number | undefined
}

/** What was learned of the cost of requests. */
export interface CostModel {
  expectTokens: (request: StreamTraits) => ExpectedCost
  /** Learns from an answer that made so many tokens; one that was cut would have been longer. */
  noteTokens: (request: StreamTraits, madeTokens: number, options: { isWhole: boolean }) => void
  expectWork: (request: CostTraits) => ExpectedCost
  /** Learns the duration of an answer of a plain target that did not queue. */
  noteWork: (request: CostTraits, workMs: number) => void
}

/** Largest number of groups, each of about 250 bytes. */
const MAX_GROUPS = 2_048

/** Answers at which a group's own evidence counts as much as that of the wider one. */
const SHRINKAGE_ANSWERS = 8

/** Weight of the caller's estimate against the usual output while nothing was learned. */
const HINT_WEIGHT = 0.5

/** Variance of the logarithm of a length, and of the error of an estimate, while nothing was learned. */
const PRIOR_VARIANCE = 0.5

/** Least variance: no group is alike to the last token. */
const MIN_VARIANCE = 0.01

/** Evidence of one group, as corrections of the wider group, in the logarithm. */
interface Group {
  amounts: Moments
  /** Of what was made against the caller's estimate. */
  hintErrors: Moments
}

/** Mean and variance after the corrections by all groups. */
interface Belief {
  mean: number
  variance: number
}

/**
 * @name createCostModel
 * @summary Creates a model that has learned nothing yet.
 * @param options - The runtime.
 * @returns The model.
 *
 * @example
 * costs.noteTokens(request, 312, { isWhole: true })
 * costs.expectTokens(request).outputTokens
 */
export function createCostModel (options: { runtime: Pick<Runtime, 'monotonicMs'> }): CostModel {
  const { runtime } = options
  /** In the order in which they last learned. */
  const groups = new Map<number, Group>()

  function getOrCreateGroup (key: number): Group {
    const group = groups.get(key) ?? { amounts: createMoments(), hintErrors: createMoments() }
    groups.delete(key)
    groups.set(key, group)
    if (groups.size > MAX_GROUPS) groups.delete(groups.keys().next().value!)
    return group
  }

  /** Applies the corrections of the groups, widest first. */
  function believe (keys: readonly number[], field: keyof Group, prior: Belief, nowMs: number): Belief {
    let belief = prior
    for (const key of keys) belief = correct(belief, groups.get(key)?.[field], nowMs)
    return belief
  }

  function learn (keys: readonly number[], field: keyof Group, value: number, prior: Belief, nowMs: number): void {
    let belief = prior
    for (const key of keys) {
      const moments = getOrCreateGroup(key)[field]
      const before = correct(belief, moments, nowMs)
      addValue(moments, value - belief.mean, nowMs)
      belief = before
    }
  }

  /** Answers in the narrowest group that has some. */
  function countAnswers (keys: readonly number[], nowMs: number): number {
    for (const key of keys.toReversed()) {
      const amounts = groups.get(key)?.amounts
      const answers = amounts === undefined ? 0 : Math.round(weightAt(amounts, nowMs))
      if (answers > 0) return answers
    }
    return 0
  }

  function expectTokens (request: StreamTraits): ExpectedCost {
    const { usualTokens, maxTokens, hintedTokens } = request
    const nowMs = runtime.monotonicMs()
    const keys = listKeys(request)
    const usual = { mean: Math.log(Math.max(1, usualTokens)), variance: PRIOR_VARIANCE }
    const level = believe(keys, 'amounts', usual, nowMs)
    const posterior = hintedTokens === undefined || hintedTokens <= 0 ? level : combine(level, shift(believe(keys, 'hintErrors', { mean: 0, variance: PRIOR_VARIANCE }, nowMs), Math.log(hintedTokens)))
    const distribution = { mu: posterior.mean, sigma: Math.sqrt(posterior.variance) }
    const unlearned = hintedTokens === undefined ? usualTokens : HINT_WEIGHT * hintedTokens + (1 - HINT_WEIGHT) * usualTokens
    // The learned estimate is shrunk towards the usual output by itself; this only starts it from the unlearned one.
    const weight = weightAt(groups.get(keys[0]!)?.amounts ?? createMoments(), nowMs)
    const share = weight / (weight + 1)
    const blend = (learned: number, assumed: number): number => Math.min(maxTokens, share * learned + (1 - share) * assumed)
    const unlearnedHigh = unlearned * Math.exp(Math.sqrt(PRIOR_VARIANCE))
    return {
      outputTokens: blend(meanExcess(distribution, 0, maxTokens), unlearned),
      highOutputTokens: blend(quantile90(distribution), unlearnedHigh),
      workMs: undefined,
      answers: countAnswers(keys, nowMs)
    }
  }

  return {
    expectTokens,
    noteTokens (request, madeTokens, { isWhole }) {
      if (madeTokens <= 0) return
      const expected = expectTokens(request)
      if (!isWhole && madeTokens <= expected.outputTokens) return
      const amount = isWhole ? madeTokens : madeTokens + expectTokensLeft(expected, madeTokens, request.maxTokens)
      const nowMs = runtime.monotonicMs()
      const keys = listKeys(request)
      const { usualTokens, hintedTokens } = request
      learn(keys, 'amounts', Math.log(amount), { mean: Math.log(Math.max(1, usualTokens)), variance: PRIOR_VARIANCE }, nowMs)
      if (hintedTokens !== undefined && hintedTokens > 0) learn(keys, 'hintErrors', Math.log(amount / hintedTokens), { mean: 0, variance: PRIOR_VARIANCE }, nowMs)
    },
    expectWork (request) {
      const nowMs = runtime.monotonicMs()
      const keys = listKeys(request)
      const answers = countAnswers(keys, nowMs)
      const { mean, variance } = believe(keys, 'amounts', { mean: 0, variance: PRIOR_VARIANCE }, nowMs)
      return { outputTokens: 0, highOutputTokens: 0, workMs: answers === 0 ? undefined : Math.exp(mean + variance / 2), answers }
    },
    noteWork (request, workMs) {
      learn(listKeys(request), 'amounts', Math.log(Math.max(1, workMs)), { mean: 0, variance: PRIOR_VARIANCE }, runtime.monotonicMs())
    }
  }
}

/** Keys of the groups of a request, widest first. */
function listKeys ({ route, account, sharedParts }: CostTraits): number[] {
  const keys = [hashText(route)]
  if (account !== undefined) keys.push(hashText(`${route}\naccount\n${account}`))
  if (sharedParts.length > 0) keys.push(hashText(`${route}\npart\n${sharedParts.at(-1)}`))
  return keys
}

/** Weight of a group's own evidence, from 0 to 1. */
function shareOf (moments: Moments | undefined, nowMs: number): number {
  if (moments === undefined) return 0
  const weight = weightAt(moments, nowMs)
  return weight / (weight + SHRINKAGE_ANSWERS)
}

function correct ({ mean, variance }: Belief, moments: Moments | undefined, nowMs: number): Belief {
  if (moments === undefined) return { mean, variance }
  const share = shareOf(moments, nowMs)
  return { mean: mean + share * moments.mean, variance: Math.max(MIN_VARIANCE, (1 - share) * variance + share * moments.variance) }
}

function shift ({ mean, variance }: Belief, by: number): Belief {
  return { mean: mean + by, variance }
}

/** Weighs two sources by their precision. */
function combine (one: Belief, other: Belief): Belief {
  const variance = 1 / (1 / one.variance + 1 / other.variance)
  return { mean: variance * (one.mean / one.variance + other.mean / other.variance), variance }
}
