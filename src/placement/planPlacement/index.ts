/**
 * Decides which layers empty engines load, in fleets where engines fail, leave and come back all
 * the time. Every failure domain gets complete replicas of the model, so that requests need not
 * cross the link of low bandwidth between domains. A domain that stays whole without any one
 * pipeline loads all its engines; in a smaller one some stay empty to replace lost ones. An engine
 * that serves is not moved unless other engines of its domain hold all its layers.
 */
import type { EngineModel, LayerRange, Target } from '../../fleet/types.js'
import { countCoverage, fillGapsWithCache, findGaps } from '../_lib/coverage.js'
import { chooseWidth } from '../_lib/engineRate.js'
import { planFastReplica } from '../planFastReplica/index.js'
import type { ReplicaOptions } from '../planReplica/index.js'
import { HOLDERS_WITHOUT_SPARE, planReplicas } from '../planReplicas/index.js'
import type { PlacementEngine, PlannedLoad } from '../types.js'

/** Cache sizes to plan engines with, in tokens, tried from the largest to the smallest that is worth serving with. */
const CACHE_STEPS_TOKENS = [80_000, 77_000, 74_000, 70_000, 66_000, 62_000, 58_000, 50_000, 40_000, 30_000, 20_000, 12_000]

/** Cache size from which fewer engines are preferred to a larger cache, in tokens. */
const SUFFICIENT_CACHE_TOKENS = 70_000

/**
 * @name planPlacement
 * @summary Plans the loads that complete the replicas of each failure domain, nearly complete domains first.
 * @param engines - Every engine of the model.
 * @param options - The model.
 * @returns Loads of idle engines only; each fits the memory of its engine.
 *
 * @example
 * planPlacement(engines, { model })
 */
export function planPlacement (engines: readonly PlacementEngine[], options: { model: EngineModel }): PlannedLoad[] {
  const { model } = options
  const domains = [...new Set(engines.map(engine => engine.target.failureDomain))].sort()
    .map(name => engines.filter(engine => engine.target.failureDomain === name))
  const boundaries = new Set(engines.flatMap(({ layers }) => layers === undefined ? [] : [layers.from, layers.to]))
  const largePlans = domains.map(members => {
    const plan = planLargeDomain(members, { model, boundaries })
    for (const { range } of plan?.loads ?? []) boundaries.add(range.from).add(range.to)
    return plan
  })
  const fastReplica = planFastReplica(domains.filter((_, index) => largePlans[index] === undefined).flat(), { model })
  const plans = domains.map((members, index) => largePlans[index] ?? planDomain(members, fastReplica.memberIds, model))
  const loads = [...fastReplica.loads, ...plans.sort((a, b) => a.missingLayers - b.missingLayers).flatMap(plan => plan.loads)]
  return [...loads, ...fillModelGaps(engines, loads, model)]
}

/** Loads of one failure domain. */
interface DomainPlan {
  loads: PlannedLoad[]
  /** Number of layers that no engine of the domain holds; the domain with the fewest is completed first. */
  missingLayers: number
}

/** Plans a domain whose engines suffice to hold every layer at least twice; `undefined` for others. */
function planLargeDomain (engines: readonly PlacementEngine[], { model, boundaries }: ReplicaOptions): DomainPlan | undefined {
  const usable = engines.filter(engine => engine.isUsable)
  const held = usable.flatMap(({ target, layers }) => layers === undefined ? [] : [{ target, range: layers }])
  const coverage = countCoverage(held.map(({ range }) => range), model)
  const missingLayers = coverage.filter(count => count === 0).length
  const { loads, isWholeAfterLoss } = planReplicas(listEmpty(usable), { held, model, boundaries })
  const fittingLayers = usable.reduce((sum, { target }) => sum + chooseWidth(target, model), 0)
  if (!isWholeAfterLoss && fittingLayers < model.layerCount * HOLDERS_WITHOUT_SPARE) return undefined
  return { loads: loads.length > 0 || missingLayers === 0 ? loads : restoreLayers(coverage, [], usable, model), missingLayers }
}

const listEmpty = (engines: readonly PlacementEngine[]): Target[] => engines.filter(engine => engine.isIdle && engine.layers === undefined).map(engine => engine.target)

/**
 * Plans one replica on the engines of a domain outside the fast replica; the others stay empty, to
 * replace any that is lost. If that gives no load although no engine of the domain holds some
 * layers, plans those alone, if need be on engines whose own layers all have another holder.
 */
function planDomain (engines: readonly PlacementEngine[], fastReplicaIds: ReadonlySet<string>, model: EngineModel): DomainPlan {
  const usable = engines.filter(engine => engine.isUsable)
  const others = usable.filter(engine => !fastReplicaIds.has(engine.target.id))
  const held = countCoverage(usable.flatMap(engine => engine.layers ?? []), model)
  const heldByOthers = countCoverage(others.flatMap(engine => engine.layers ?? []), model)
  const missingLayers = held.filter(count => count === 0).length
  const empty = listEmpty(others)
  const loads = fillGaps(findGaps(heldByOthers, 1), empty, model) ?? []
  if (loads.length > 0 || missingLayers === 0) return { loads, missingLayers }
  return { loads: restoreLayers(held, empty, others, model), missingLayers }
}

/** Loads the layers that no engine of the domain holds on empty engines and, as far as these do not suffice, on the slowest whose own layers all keep another holder. */
function restoreLayers (held: readonly number[], empty: readonly Target[], engines: readonly PlacementEngine[], model: EngineModel): PlannedLoad[] {
  const gaps = findGaps(held, 1)
  const left = [...held]
  const candidates = [...empty]
  const pace = ({ target }: PlacementEngine): number => model.kinds[target.kind ?? '']?.pace ?? 0
  const moveable = engines.filter(({ isIdle, layers }) => isIdle && layers !== undefined).sort((a, b) => pace(b) - pace(a))
  for (;;) {
    const loads = fillGaps(gaps, candidates, model)
    if (loads !== undefined) return loads
    const redundant = moveable.find(({ target, layers }) => !candidates.includes(target) && left.slice(layers!.from, layers!.to).every(count => count > 1))
    if (redundant === undefined) return []
    candidates.push(redundant.target)
    for (let layer = redundant.layers!.from; layer < redundant.layers!.to; layer++) left[layer]!--
  }
}

/** Fills every gap with as few engines as have at least `SUFFICIENT_CACHE_TOKENS`, or else with the largest cache that is possible. */
function fillGaps (gaps: readonly LayerRange[], idle: readonly Target[], model: EngineModel): PlannedLoad[] | undefined {
  let best: PlannedLoad[] | undefined
  for (const cacheTokens of CACHE_STEPS_TOKENS) {
    if (best !== undefined && cacheTokens < SUFFICIENT_CACHE_TOKENS) break
    const loads = fillGapsWithCache(gaps, idle, cacheTokens, model)
    if (loads !== undefined && (best === undefined || loads.length < best.length)) best = loads
  }
  return best
}

/** Loads layers that no engine of any domain holds on empty engines of any domain. */
function fillModelGaps (engines: readonly PlacementEngine[], loads: readonly PlannedLoad[], model: EngineModel): PlannedLoad[] {
  const usable = engines.filter(engine => engine.isUsable)
  const ranges = [...usable.flatMap(engine => engine.layers ?? []), ...loads.map(load => load.range)]
  const gaps = findGaps(countCoverage(ranges, model), 1)
  if (gaps.length === 0) return []
  const idle = usable
    .filter(engine => engine.isIdle && engine.layers === undefined && !loads.some(load => load.target.id === engine.target.id))
    .map(engine => engine.target)
  return fillGaps(gaps, idle, model) ?? []
}
