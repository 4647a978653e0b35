/**
 * Counts how many engines hold each layer of a model, and plans loads for the layers that too few hold.
 */
import type { EngineModel, LayerRange, Target } from '../../fleet/types.js'
import type { PlannedLoad } from '../types.js'

/** Number of layers that an engine can hold with a cache for a number of tokens; 0 for an engine of unknown kind. */
export function countFittingLayers (target: Target, cacheTokens: number, model: EngineModel): number {
  const kind = target.kind === undefined ? undefined : model.kinds[target.kind]
  if (kind === undefined) return 0
  return Math.min(model.layerCount, Math.floor(kind.memoryMb / (model.layerMb + cacheTokens * model.tokenLayerMb)))
}

/** Number of engines that hold each layer, by layer. */
export function countCoverage (ranges: readonly LayerRange[], model: EngineModel): number[] {
  const coverage = new Array<number>(model.layerCount).fill(0)
  for (const { from, to } of ranges) {
    for (let layer = from; layer < Math.min(to, model.layerCount); layer++) coverage[layer]!++
  }
  return coverage
}

/** Ranges of layers that fewer than `wantedCount` engines hold. */
export function findGaps (coverage: readonly number[], wantedCount: number): LayerRange[] {
  const gaps: LayerRange[] = []
  coverage.forEach((count, layer) => {
    if (count >= wantedCount) return
    const last = gaps.at(-1)
    if (last?.to === layer) last.to = layer + 1
    else gaps.push({ from: layer, to: layer + 1 })
  })
  return gaps
}

/** Loads that fill every gap with idle engines that keep a cache for `cacheTokens`, the widest gap first; `undefined` when too few are idle. */
export function fillGapsWithCache (gaps: readonly LayerRange[], idle: readonly Target[], cacheTokens: number, model: EngineModel): PlannedLoad[] | undefined {
  const available = new Set(idle)
  const loads: PlannedLoad[] = []
  for (const gap of [...gaps].sort((a, b) => (b.to - b.from) - (a.to - a.from))) {
    let from = gap.from
    while (from < gap.to) {
      const target = pickEngine(available, gap.to - from, cacheTokens, model)
      if (target === undefined) return undefined
      available.delete(target)
      const to = Math.min(gap.to, from + countFittingLayers(target, cacheTokens, model))
      loads.push({ target, range: { from, to } })
      from = to
    }
  }
  return loads
}

/** The engine of least capacity that can hold all the layers, or else the one that can hold most; the faster of two equals. */
function pickEngine (engines: ReadonlySet<Target>, layerCount: number, cacheTokens: number, model: EngineModel): Target | undefined {
  const fittingLayers = (target: Target): number => countFittingLayers(target, cacheTokens, model)
  const pace = (target: Target): number => model.kinds[target.kind ?? '']?.pace ?? Infinity
  const candidates = [...engines].filter(target => fittingLayers(target) > 0)
  const sufficient = candidates.filter(target => fittingLayers(target) >= layerCount)
  const ranked = sufficient.length > 0
    ? sufficient.sort((a, b) => fittingLayers(a) - fittingLayers(b) || pace(a) - pace(b))
    : candidates.sort((a, b) => fittingLayers(b) - fittingLayers(a) || pace(a) - pace(b))
  return ranked[0]
}
