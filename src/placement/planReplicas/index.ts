/**
 * Plans one replica after the other in a failure domain, and widens the narrowest layers with the
 * engines that are left. Answers load of a whole fleet: no engine stays without layers where the
 * domain loses any one pipeline and still holds every layer.
 */
import type { EngineModel, Target } from '../../fleet/types.js'
import { countCoverage, findGaps } from '../_lib/coverage.js'
import type { HeldRange } from '../estimateCapacity/index.js'
import { planReplica, type ReplicaOptions } from '../planReplica/index.js'
import type { PlannedLoad } from '../types.js'
import { widenNarrowest } from '../widenNarrowest/index.js'

/** Holders of each layer with which a failure domain stays whole when it loses one pipeline, so that no engine has to stay empty to replace the lost ones. */
export const HOLDERS_WITHOUT_SPARE = 2

/** Share of what engines serve at best below which they hold more of the narrowest layers rather than fill a small gap. */
const MIN_EFFICIENCY = 0.5

/**
 * @name planReplicas
 * @summary Plans loads for all empty engines of a failure domain.
 * @param empty - Its engines without layers.
 * @param options - Ranges that its other engines hold, the model, and the boundaries of all ranges.
 * @returns The loads, and whether every layer then has enough holders for the loss of a pipeline.
 *
 * @example
 * planReplicas(empty, { held, model, boundaries }).loads
 */
export function planReplicas (empty: readonly Target[], options: { held: readonly HeldRange[], model: EngineModel, boundaries: ReadonlySet<number> }): { loads: PlannedLoad[], isWholeAfterLoss: boolean } {
  const { held, model } = options
  const boundaries = new Set(options.boundaries)
  const loads: PlannedLoad[] = []
  const listRanges = (): HeldRange[] => [...held, ...loads]
  const listEmpty = (): Target[] => empty.filter(target => !loads.some(load => load.target.id === target.id))
  for (let holders = 1, isFilled = true; isFilled && listEmpty().length > 0; holders++) {
    const added = fillGapsOnce(holders, listEmpty(), listRanges(), { model, boundaries })
    loads.push(...added.loads)
    for (const { range } of added.loads) boundaries.add(range.from).add(range.to)
    isFilled = added.isFilled
  }
  loads.push(...widenNarrowest(listEmpty(), { held: listRanges(), model, boundaries }))
  const coverage = countCoverage(listRanges().map(({ range }) => range), model)
  return { loads, isWholeAfterLoss: coverage.every(count => count >= HOLDERS_WITHOUT_SPARE) }
}

/** Loads that give layers a number of holders, and whether that is all layers. */
function fillGapsOnce (holders: number, empty: readonly Target[], held: readonly HeldRange[], options: ReplicaOptions): { loads: PlannedLoad[], isFilled: boolean } {
  const gaps = findGaps(countCoverage(held.map(({ range }) => range), options.model), holders)
  const loads: PlannedLoad[] = []
  let isFilled = true
  for (const gap of gaps.sort((a, b) => (b.to - b.from) - (a.to - a.from))) {
    const available = empty.filter(target => !loads.some(load => load.target.id === target.id))
    const plan = planReplica(gap, available, options)
    const isNeeded = holders <= HOLDERS_WITHOUT_SPARE || gap.to - gap.from === options.model.layerCount
    if (plan !== undefined && (isNeeded || plan.efficiency >= MIN_EFFICIENCY)) loads.push(...plan.loads)
    else isFilled = false
  }
  return { loads, isFilled }
}
