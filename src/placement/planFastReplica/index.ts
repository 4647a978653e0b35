/**
 * Plans one replica of the model on the fastest engines alone, over as few failure domains as
 * possible. A fault interrupts every stream in progress: on fast engines a stream lasts a fraction
 * of the time, so that fewer are in progress at any moment, and the replicas of the failure
 * domains stay nearly idle to take over.
 */
import type { EngineModel, LayerRange, Target } from '../../fleet/types.js'
import { countCoverage, fillGapsWithCache, findGaps, countFittingLayers } from '../_lib/coverage.js'
import type { PlacementEngine, PlannedLoad } from '../types.js'

/** Loads of the fast replica: engines that together hold every layer of the model. */
export interface FastReplicaPlan {
  /** Ids of the engines that hold or load its layers; they belong to no other replica. */
  memberIds: ReadonlySet<string>
  loads: PlannedLoad[]
}

/** Cache that each of its engines keeps beside its layers, in tokens; short streams need little. */
const CACHE_TOKENS = 45_000

/** Share of the step time of the slowest kind up to which a kind counts as fast. */
const FAST_PACE_SHARE = 0.5

/** Longest transfer of a usual prompt between failure domains for which the replica may span several, in milliseconds. */
const MAX_TRANSFER_MS = 30

/** Failure domains that the replica may span; each crossing costs one transfer of every prompt. */
const MAX_DOMAINS = 2

/** Transfer time of one byte at 1 Mbps, in milliseconds. */
const MS_PER_BYTE_AT_1_MBPS = 8 / 1_000

const NO_REPLICA: FastReplicaPlan = { memberIds: new Set(), loads: [] }

/** Fast engines of one failure domain, and how many layers they can hold. */
interface DomainEngines {
  engines: PlacementEngine[]
  layers: number
}

/**
 * @name planFastReplica
 * @summary Plans the loads that complete the fast replica.
 * @param engines - Every engine of the model.
 * @param options - The model.
 * @returns Its engines and loads; none where the fast engines cannot hold every layer.
 *
 * @example
 * planFastReplica(engines, { model }).loads
 */
export function planFastReplica (engines: readonly PlacementEngine[], options: { model: EngineModel }): FastReplicaPlan {
  const { model } = options
  const fast = engines.filter(engine => engine.isUsable && isFast(engine.target, model))
  const domainEngines = chooseDomains(fast, model)
  const capacity = domainEngines.reduce((sum, domain) => sum + domain.layers, 0)
  if (capacity < model.layerCount) return NO_REPLICA
  const memberIds = new Set<string>()
  const loads: PlannedLoad[] = []
  let from = 0
  for (const domain of domainEngines) {
    const range = { from, to: Math.min(model.layerCount, from + domain.layers) }
    const domainLoads = planDomainLoads(domain, range, model)
    for (const { target } of [...listHolders(domain, range, model), ...domainLoads]) memberIds.add(target.id)
    loads.push(...domainLoads)
    from = range.to
  }
  return { memberIds, loads }
}

/** As few engines of the domain as hold what its fast engines hold of a range; at each layer the one that holds the most layers from there on, of equals the first by id. */
function listHolders (domain: DomainEngines, range: LayerRange, model: EngineModel): PlacementEngine[] {
  const holders: PlacementEngine[] = []
  const reach = (engine: PlacementEngine): number => Math.min(engine.layers?.to ?? 0, model.layerCount)
  const engines = [...domain.engines].sort((a, b) => reach(b) - reach(a) || (a.target.id < b.target.id ? -1 : 1))
  for (let layer = range.from; layer < range.to;) {
    const holder = engines.find(({ layers }) => layers !== undefined && layers.from <= layer && layer < layers.to)
    if (holder !== undefined) holders.push(holder)
    layer = holder === undefined ? layer + 1 : reach(holder)
  }
  return holders
}

function isFast (target: Target, model: EngineModel): boolean {
  const slowest = Math.max(...Object.values(model.kinds).map(kind => kind.pace))
  return (model.kinds[target.kind ?? '']?.pace ?? Infinity) <= slowest * FAST_PACE_SHARE
}

/** The failure domains whose fast engines can hold the most layers, as few as hold the model and no more than the replica may span. */
function chooseDomains (fast: readonly PlacementEngine[], model: EngineModel): DomainEngines[] {
  const transferMs = model.usualPromptTokens * model.activationBytes * MS_PER_BYTE_AT_1_MBPS / model.pipeMbps
  const maxDomains = transferMs <= MAX_TRANSFER_MS ? MAX_DOMAINS : 1
  const domains = [...new Set(fast.map(engine => engine.target.failureDomain))].sort()
  const domainEngines = domains
    .map(domain => {
      const members = fast.filter(engine => engine.target.failureDomain === domain)
      return { engines: members, layers: members.reduce((sum, engine) => sum + countFittingLayers(engine.target, CACHE_TOKENS, model), 0) }
    })
    .sort((a, b) => b.layers - a.layers)
  const chosen: DomainEngines[] = []
  let layers = 0
  for (const domain of domainEngines.slice(0, maxDomains)) {
    if (layers >= model.layerCount) break
    chosen.push(domain)
    layers += domain.layers
  }
  return chosen
}

/** Loads of idle engines of one failure domain for the layers of its range that none of its fast engines holds. */
function planDomainLoads (domain: DomainEngines, range: LayerRange, model: EngineModel): PlannedLoad[] {
  const held = domain.engines.flatMap(engine => engine.layers ?? [])
  const gaps = findGaps(countCoverage(held, model), 1)
    .map(gap => ({ from: Math.max(gap.from, range.from), to: Math.min(gap.to, range.to) }))
    .filter(gap => gap.from < gap.to)
  const idle = domain.engines.filter(engine => engine.isIdle && engine.layers === undefined).map(engine => engine.target)
  return gaps.length === 0 ? [] : fillGapsWithCache(gaps, idle, CACHE_TOKENS, model) ?? []
}
