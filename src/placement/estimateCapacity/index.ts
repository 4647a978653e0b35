/**
 * Estimates how many usual requests the engines of a model serve in time. Answers load on fleets
 * whose kinds differ in memory and in speed: the memory beside an engine's layers bounds the
 * requests that it runs at once, its speed how soon each of them makes room for the next. Both
 * come together in one figure, requests per second, that is as large as the narrowest layer allows.
 */
import type { EngineModel, LayerRange, Target } from '../../fleet/types.js'
import { CACHE_SHARE, computeCacheTokenLayers } from '../../path/_lib/stageCost.js'

/** An engine with the layers that it holds or is to hold. */
export interface HeldRange {
  target: Target
  range: LayerRange
}

/** What engines serve together. */
export interface Capacity {
  /** Usual requests per second through the narrowest layer. */
  requestsPerSecond: number
  /** The first run of layers that limits it. */
  narrowest: LayerRange
  /** Usual requests per second, by layer. */
  byLayer: number[]
}

const MS_PER_S = 1_000

/** Number of usual requests that an engine runs at once with a number of layers; 0 for an engine of unknown kind. */
export function countConcurrentRequests (target: Target, layers: number, model: EngineModel): number {
  const tokenLayers = (model.usualPromptTokens + model.usualOutputTokens) * Math.max(1, layers)
  return Math.min(model.slots, Math.floor(computeCacheTokenLayers(target, layers, model) * CACHE_SHARE / tokenLayers))
}

/** Time that a usual request takes on a path of engines of one kind that each run a number of requests, in milliseconds; infinite for an unknown kind. */
export function estimateRequestMs (kindName: string | undefined, concurrency: number, model: EngineModel): number {
  const kind = model.kinds[kindName ?? '']
  if (kind === undefined) return Infinity
  const contextK = concurrency * (model.usualPromptTokens + model.usualOutputTokens) / 1_000
  const stepMs = (model.stepMs + model.perSequenceMs * concurrency + model.perContextKMs * contextK) * kind.pace
  return model.usualPromptTokens / model.prefillTokensPerMs * kind.prefillFactor + model.usualOutputTokens * stepMs
}

/** Usual requests per second through the layers of an engine, on paths of engines like it. */
export function estimateEngineRate (target: Target, layers: number, model: EngineModel): number {
  const concurrency = countConcurrentRequests(target, layers, model)
  return concurrency <= 0 ? 0 : concurrency / estimateRequestMs(target.kind, concurrency, model) * MS_PER_S
}

/** Widths and values of the kinds of a model. */
const bestWidths = new WeakMap<EngineModel, Map<string, { width: number, value: number }>>()

/** Number of layers with which an engine serves most, and layers times requests per second that it then serves; both 0 for an engine of unknown kind. */
function findBestWidth (target: Target, model: EngineModel): { width: number, value: number } {
  const known = bestWidths.get(model) ?? new Map<string, { width: number, value: number }>()
  bestWidths.set(model, known)
  const found = known.get(target.kind ?? '')
  if (found !== undefined) return found
  let best = { width: 0, value: 0 }
  for (let width = 1; width <= model.layerCount; width++) {
    const value = width * estimateEngineRate(target, width, model)
    if (value > best.value) best = { width, value }
  }
  known.set(target.kind ?? '', best)
  return best
}

/** Number of layers with which an engine serves most; 0 for an engine of unknown kind or without memory for a layer. */
export const chooseWidth = (target: Target, model: EngineModel): number => findBestWidth(target, model).width

/** Layers times requests per second that an engine serves at best. */
export const estimateFullValue = (target: Target, model: EngineModel): number => findBestWidth(target, model).value

/**
 * @name estimateCapacity
 * @summary Estimates the usual requests per second that engines serve together.
 * @param held - Engines with their layers; those of one failure domain, or all.
 * @param options - The model.
 * @returns The rate through the narrowest layer, and through each layer.
 *
 * @example
 * estimateCapacity(held, { model }).requestsPerSecond
 */
export function estimateCapacity (held: readonly HeldRange[], options: { model: EngineModel }): Capacity {
  const { model } = options
  const byLayer = new Array<number>(model.layerCount).fill(0)
  for (const { target, range } of held) {
    const rate = estimateEngineRate(target, range.to - range.from, model)
    for (let layer = range.from; layer < Math.min(range.to, model.layerCount); layer++) byLayer[layer]! += rate
  }
  const requestsPerSecond = Math.min(...byLayer)
  const from = byLayer.indexOf(requestsPerSecond)
  const end = byLayer.findIndex((rate, layer) => layer > from && rate > requestsPerSecond)
  return { requestsPerSecond, narrowest: { from, to: end < 0 ? model.layerCount : end }, byLayer }
}
