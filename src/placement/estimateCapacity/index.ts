/**
 * Estimates how many usual requests the engines of a model serve in time. Answers load on fleets
 * whose kinds differ in memory and in speed: the memory beside an engine's layers bounds the
 * requests that it runs at once, its speed how soon each of them makes room for the next. Both
 * come together in one figure, requests per second, that is as large as the narrowest layer allows.
 */
import type { EngineModel, LayerRange, Target } from '../../fleet/types.js'
import { estimateEngineRate } from '../_lib/engineRate.js'

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
