/**
 * Plans loads of engines that don't close a replica by themselves. Answers load above what the
 * replicas of a failure domain serve while some of its engines hold nothing: one more holder of
 * the narrowest layers makes room on every path through them.
 */
import type { EngineModel, LayerRange, Target } from '../../fleet/types.js'
import { chooseWidth, estimateEngineRate } from '../_lib/engineRate.js'
import { estimateCapacity, type HeldRange } from '../estimateCapacity/index.js'
import type { PlannedLoad } from '../types.js'

/** Share of an engine's layers down to which its range is shortened to end where others do; fewer boundaries make the choice of paths cheaper. */
const MIN_ALIGNED_SHARE = 0.75

/**
 * @name widenNarrowest
 * @summary Gives each empty engine the layers at which it adds most to what the narrowest serve.
 * @param empty - Engines without layers.
 * @param options - Ranges held or planned in the failure domain, the model, and the boundaries of all ranges.
 * @returns One load for each engine of a known kind, the fastest engines first.
 *
 * @example
 * widenNarrowest(empty, { held, model, boundaries })
 */
export function widenNarrowest (empty: readonly Target[], options: { held: readonly HeldRange[], model: EngineModel, boundaries: ReadonlySet<number> }): PlannedLoad[] {
  const { held, model } = options
  const byLayer = [...estimateCapacity(held, { model }).byLayer]
  const boundaries = [...new Set([0, model.layerCount, ...options.boundaries])].sort((a, b) => a - b)
  const pace = (target: Target): number => model.kinds[target.kind ?? '']?.pace ?? Infinity
  return [...empty].sort((a, b) => pace(a) - pace(b) || (a.id < b.id ? -1 : 1)).flatMap(target => {
    const width = chooseWidth(target, model)
    if (width === 0) return []
    const rate = estimateEngineRate(target, width, model)
    const ranges = boundaries.filter(boundary => boundary < model.layerCount).map(from => ({ from, to: alignEnd(from, width, boundaries, model) }))
    const [range] = ranges.sort((a, b) => computeGain(b, rate, byLayer) - computeGain(a, rate, byLayer) || a.from - b.from)
    for (let layer = range!.from; layer < range!.to; layer++) byLayer[layer]! += rate
    return { target, range: range! }
  })
}

/** End of a range that holds a number of layers at most, at a boundary of others if one is near. */
function alignEnd (from: number, width: number, boundaries: readonly number[], model: EngineModel): number {
  const most = Math.min(model.layerCount, from + width)
  return boundaries.findLast(boundary => boundary <= most && boundary >= from + width * MIN_ALIGNED_SHARE) ?? most
}

/** What a further holder adds to the layers of a range: nearly one for each layer that has no other, less the more it is held. */
function computeGain ({ from, to }: LayerRange, rate: number, byLayer: readonly number[]): number {
  return byLayer.slice(from, to).reduce((sum, held) => sum + rate / (held + rate), 0)
}
