/**
 * How often engines cover the layers of a model, and how holes are filled.
 */
import type { EngineModel, LayerRange, Target } from '../../fleet/types.js'
import type { PlannedLoad } from '../types.js'

/** How many layers an engine can hold beside the cache of a number of tokens; 0 for an engine of unknown kind. */
export function layersThatFit (target: Target, roomTokens: number, model: EngineModel): number {
  const kind = target.kind === undefined ? undefined : model.kinds[target.kind]
  if (kind === undefined) return 0
  return Math.min(model.layerCount, Math.floor(kind.memoryMb / (model.layerMb + roomTokens * model.tokenLayerMb)))
}

/** Engines that hold each layer. */
export function countCoverage (ranges: readonly LayerRange[], model: EngineModel): number[] {
  const coverage = new Array<number>(model.layerCount).fill(0)
  for (const { from, to } of ranges) {
    for (let layer = from; layer < Math.min(to, model.layerCount); layer++) coverage[layer]!++
  }
  return coverage
}

/** Ranges of layers that fewer engines hold than wanted. */
export function findHoles (coverage: readonly number[], depth: number): LayerRange[] {
  const holes: LayerRange[] = []
  coverage.forEach((count, layer) => {
    if (count >= depth) return
    const last = holes.at(-1)
    if (last?.to === layer) last.to = layer + 1
    else holes.push({ from: layer, to: layer + 1 })
  })
  return holes
}

/** Loads that fill every hole with engines that keep the room, or `undefined` when they do not suffice. */
export function fillWithRoom (holes: readonly LayerRange[], idle: readonly Target[], roomTokens: number, model: EngineModel): PlannedLoad[] | undefined {
  const left = new Set(idle)
  const loads: PlannedLoad[] = []
  for (const hole of [...holes].sort((a, b) => (b.to - b.from) - (a.to - a.from))) {
    let from = hole.from
    while (from < hole.to) {
      const target = pickEngine(left, hole.to - from, roomTokens, model)
      if (target === undefined) return undefined
      left.delete(target)
      const to = Math.min(hole.to, from + layersThatFit(target, roomTokens, model))
      loads.push({ target, range: { from, to } })
      from = to
    }
  }
  return loads
}

/** The smallest engine that takes all the layers, or else the one that takes most; the faster among equals. */
function pickEngine (engines: ReadonlySet<Target>, layerCount: number, roomTokens: number, model: EngineModel): Target | undefined {
  const fit = (target: Target): number => layersThatFit(target, roomTokens, model)
  const pace = (target: Target): number => model.kinds[target.kind ?? '']?.pace ?? Infinity
  const candidates = [...engines].filter(target => fit(target) > 0)
  const whole = candidates.filter(target => fit(target) >= layerCount)
  const ranked = whole.length > 0
    ? whole.sort((a, b) => fit(a) - fit(b) || pace(a) - pace(b))
    : candidates.sort((a, b) => fit(b) - fit(a) || pace(a) - pace(b))
  return ranked[0]
}
