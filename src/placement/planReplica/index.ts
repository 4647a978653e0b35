/**
 * Plans the engines that hold a run of layers once more. Answers load on fleets of kinds that
 * differ in memory and speed: a path is as slow as its slow stages and as narrow as its fullest
 * engine, so that engines of one kind serve more together than mixed with others. Of the ways to
 * hold the layers, the one that makes most of its engines is taken.
 */
import type { EngineModel, LayerRange, Target } from '../../fleet/types.js'
import { countConcurrentRequests, estimateFullValue, estimateRequestMs } from '../_lib/engineRate.js'
import type { PlannedLoad } from '../types.js'

/** Loads that hold a run of layers, and what they serve. */
export interface ReplicaPlan {
  loads: PlannedLoad[]
  /** Usual requests per second that pass through the layers. */
  requestsPerSecond: number
  /** What they serve as a share of what the same engines serve at best, each among engines of its kind. */
  efficiency: number
}

/** Model, and layers at which ranges of other engines begin or end. */
export interface ReplicaOptions {
  model: EngineModel
  boundaries: ReadonlySet<number>
}

/** Numbers of concurrent requests to plan with, as shares of the slots of a first engine. */
const CONCURRENCY_SHARES = [1, 0.9, 0.8, 0.7, 0.6, 0.5, 0.4, 0.3, 0.2, 0.1]

/** Distance, as a share of an engine's layers, within which a range ends where others do; fewer boundaries make the choice of paths cheaper. */
const CUT_TOLERANCE_SHARE = 0.3

/** Difference from the best efficiency within which the faster replica is taken. */
const EFFICIENCY_TOLERANCE = 0.1

/**
 * @name planReplica
 * @summary Plans loads of empty engines that together hold every layer of a run once.
 * @param run - The layers.
 * @param empty - Engines without layers, of one failure domain.
 * @param options - The model, and the boundaries of other ranges.
 * @returns The loads, or `undefined` where the engines do not suffice.
 *
 * @example
 * planReplica({ from: 0, to: 80 }, empty, { model, boundaries })?.loads
 */
export function planReplica (run: LayerRange, empty: readonly Target[], options: ReplicaOptions): ReplicaPlan | undefined {
  const { model } = options
  const pace = (target: Target): number => model.kinds[target.kind ?? '']?.pace ?? Infinity
  const ranked = empty.filter(target => pace(target) < Infinity).sort((a, b) => pace(a) - pace(b) || (a.id < b.id ? -1 : 1))
  const starts = ranked.flatMap((target, index) => target.kind === ranked[index - 1]?.kind ? [] : [index])
  const plans = starts.flatMap(start => CONCURRENCY_SHARES.flatMap(share => {
    const loads = fillRun(run, ranked.slice(start), Math.max(1, Math.floor(model.slots * share)), options)
    return loads === undefined ? [] : ratePlan(loads, run, model)
  }))
  const best = Math.max(...plans.map(plan => plan.efficiency))
  return plans.filter(plan => plan.efficiency >= best - EFFICIENCY_TOLERANCE).sort((a, b) => b.requestsPerSecond - a.requestsPerSecond)[0]
}

/**
 * Loads of the first engines that together can hold the run with memory for a number of requests,
 * each a like share of what it can hold, and cut where other ranges begin if that is near.
 */
function fillRun (run: LayerRange, ranked: readonly Target[], concurrency: number, { model, boundaries }: ReplicaOptions): PlannedLoad[] | undefined {
  const taken: Array<{ target: Target, width: number }> = []
  let left = run.to - run.from
  let widthLeft = 0
  for (const target of ranked) {
    if (widthLeft >= left) break
    const width = Math.min(left, countLayersFor(target, concurrency, model))
    if (width === 0) continue
    taken.push({ target, width })
    widthLeft += width
  }
  if (widthLeft < left) return undefined
  const loads: PlannedLoad[] = []
  for (const { target, width } of taken) {
    if (left === 0) break
    const from = run.to - left
    widthLeft -= width
    const least = Math.max(1, left - widthLeft)
    const to = cutNear(from + left * width / (width + widthLeft), { from: from + least, to: from + Math.min(width, left) }, width * CUT_TOLERANCE_SHARE, boundaries)
    loads.push({ target, range: { from, to } })
    left = run.to - to
  }
  return loads
}

/** The boundary of other ranges nearest to a position if one is near enough and between the limits, or else the position. */
function cutNear (position: number, limits: LayerRange, tolerance: number, boundaries: ReadonlySet<number>): number {
  const rounded = Math.min(limits.to, Math.max(limits.from, Math.round(position)))
  let best = rounded
  let bestDistance = Infinity
  for (let cut = Math.max(limits.from, Math.ceil(position - tolerance)); cut <= Math.min(limits.to, position + tolerance); cut++) {
    if (!boundaries.has(cut) || Math.abs(cut - position) >= bestDistance) continue
    best = cut
    bestDistance = Math.abs(cut - position)
  }
  return best
}

/** Most layers that an engine can hold beside the cache of a number of requests. */
function countLayersFor (target: Target, concurrency: number, model: EngineModel): number {
  let [fits, exceeds] = [0, model.layerCount + 1]
  while (exceeds - fits > 1) {
    const layers = (fits + exceeds) >> 1
    if (countConcurrentRequests(target, layers, model) >= concurrency) fits = layers
    else exceeds = layers
  }
  return fits
}

function ratePlan (loads: PlannedLoad[], run: LayerRange, model: EngineModel): ReplicaPlan {
  const concurrency = Math.min(...loads.map(({ target, range }) => countConcurrentRequests(target, range.to - range.from, model)))
  const length = run.to - run.from
  const requestMs = loads.reduce((sum, { target, range }) => sum + estimateRequestMs(target.kind, concurrency, model) * (range.to - range.from) / length, 0)
  const requestsPerSecond = concurrency / requestMs * 1_000
  const fullValue = loads.reduce((sum, { target }) => sum + estimateFullValue(target, model), 0)
  return { loads, requestsPerSecond, efficiency: requestsPerSecond * length / fullValue }
}
