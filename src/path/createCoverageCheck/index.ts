/**
 * Checks whether the engines of a service hold every layer of its model. While layers are missing,
 * hundreds of waiting requests each ask for it many times a second, so the result is cached briefly,
 * and for as long as the engines and their layers stay the same.
 */
import type { FleetState } from '../../fleet/createFleetState/index.js'
import type { EngineModel, Service, Target } from '../../fleet/types.js'
import type { Runtime } from '../../runtime/types.js'
import type { Suspicions } from '../../suspicion/createSuspicions/index.js'
import { choosePath, type EngineLoad } from '../choosePath/index.js'

/** Which paths the engines of a service allow, load aside. */
export interface Coverage {
  /** Every layer is held by an engine, with any number of crossings between failure domains. */
  isWhole: boolean
  /** A path with at most `DEFAULT_MAX_CROSSINGS` crossings exists. */
  isWithinCrossingLimit: boolean
}

/** How long a result is cached without a look at the engines, in milliseconds; short beside the time that it takes to load missing layers again. */
const CACHE_MS = 100

const NO_LOAD: EngineLoad = { tokenLayers: 0, sequences: 0, firstSequences: 0 }

/**
 * @name createCoverageCheck
 * @summary Creates a check that looks at the engines of each service at most ten times a second, and computes the coverage when they have changed.
 * @param options - Fleet, suspicions and runtime.
 * @returns The check.
 *
 * @example
 * const checkCoverage = createCoverageCheck({ fleet, suspicions, runtime })
 * if (!checkCoverage(service).isWhole) refuse()
 */
export function createCoverageCheck (options: { fleet: FleetState, suspicions: Suspicions, runtime: Runtime }): (service: Service) => Coverage {
  const { fleet, suspicions, runtime } = options
  const cache = new Map<string, { coverage: Coverage, model: EngineModel, engines: readonly Target[], untilMs: number }>()

  function computeCoverage (engines: readonly Target[], model: EngineModel): Coverage {
    const ranges = engines.flatMap(target => target.layers ?? []).filter(({ to }) => to <= model.layerCount).sort((a, b) => a.from - b.from)
    let covered = 0
    for (const { from, to } of ranges) if (from <= covered) covered = Math.max(covered, to)
    const isWhole = covered >= model.layerCount
    const size = { promptTokens: model.usualPromptTokens, outputTokens: model.usualOutputTokens }
    const isWithinCrossingLimit = isWhole && choosePath(engines, size, { model, loadOf: () => NO_LOAD, slownessOf: () => 1, isOvercommitted: true }) !== undefined
    return { isWhole, isWithinCrossingLimit }
  }

  return service => {
    const cached = cache.get(service.name)
    if (cached !== undefined && cached.untilMs > runtime.monotonicMs()) return cached.coverage
    const model = service.model!
    const engines = fleet.servingTargets(service.name).filter(target => !suspicions.isDown(target.id))
    const isUnchanged = cached?.model === model && cached.engines.length === engines.length && engines.every((engine, index) => engine === cached.engines[index])
    const coverage = isUnchanged ? cached.coverage : computeCoverage(engines, model)
    cache.set(service.name, { coverage, model, engines, untilMs: runtime.monotonicMs() + CACHE_MS })
    return coverage
  }
}
