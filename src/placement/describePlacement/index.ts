/**
 * Describes the placement of a model for operators: what each failure domain serves, which layers
 * limit it, and who holds them.
 */
import type { EngineModel, LayerRange, Target } from '../../fleet/types.js'
import { estimateCapacity } from '../estimateCapacity/index.js'
import { findEngineDefect } from '../findEngineDefect/index.js'

/** Placement in one failure domain. */
export interface DomainPlacement {
  failureDomain: string
  /** Usual requests per second through its narrowest layer, on paths within the domain. */
  requestsPerSecond: number
  narrowest: LayerRange
  /** Engines by what they hold; those that leave, are left out or must not be used hold nothing here. */
  engines: { holding: number, empty: number, leaving: number, leftOut: number, unusable: number }
  /** Ranges in ascending order with the number of holders by kind. */
  ranges: Array<LayerRange & { holders: Record<string, number> }>
}

/**
 * @name describePlacement
 * @summary Describes what the engines of each failure domain hold and serve.
 * @param targets - The engines of one service.
 * @param options - The model, and whether an engine may be used.
 * @returns One entry a failure domain, by name.
 *
 * @example
 * describePlacement(engines, { model, isUsable: id => !suspicions.isDown(id) })
 */
export function describePlacement (targets: readonly Target[], options: { model: EngineModel, isUsable: (targetId: string) => boolean }): DomainPlacement[] {
  const { model, isUsable } = options
  const domains = [...new Set(targets.map(target => target.failureDomain))].sort()
  return domains.map(failureDomain => {
    const engines = { holding: 0, empty: 0, leaving: 0, leftOut: 0, unusable: 0 }
    const holding: Array<{ target: Target, range: LayerRange }> = []
    for (const target of targets.filter(candidate => candidate.failureDomain === failureDomain)) {
      const state = findEngineDefect(target, { model }) !== undefined ? 'leftOut' : target.isLeaving ? 'leaving' : !isUsable(target.id) ? 'unusable' : target.layers === undefined ? 'empty' : 'holding'
      engines[state]++
      if (state === 'holding') holding.push({ target, range: target.layers! })
    }
    const { requestsPerSecond, narrowest } = estimateCapacity(holding, { model })
    return { failureDomain, requestsPerSecond: Math.round(requestsPerSecond * 10) / 10, narrowest, engines, ranges: countHolders(holding) }
  })
}

function countHolders (holding: ReadonlyArray<{ target: Target, range: LayerRange }>): DomainPlacement['ranges'] {
  const ranges = new Map<string, DomainPlacement['ranges'][number]>()
  for (const { target, range: { from, to } } of holding) {
    const entry = ranges.get(`${from}-${to}`) ?? { from, to, holders: {} }
    ranges.set(`${from}-${to}`, entry)
    entry.holders[target.kind!] = (entry.holders[target.kind!] ?? 0) + 1
  }
  return [...ranges.values()].sort((a, b) => a.from - b.from || a.to - b.to)
}
