/**
 * Whether a service's engines cover its model, kept for a moment. Answers the load pattern in
 * which hundreds of requests wait while part of a cover is lost: each asks the same question
 * many times a second, and choosing a path for each would take the processor from the streams.
 */
import type { FleetState } from '../../fleet/createFleetState/index.js'
import type { Service } from '../../fleet/types.js'
import type { Runtime } from '../../runtime/types.js'
import type { Suspicions } from '../../suspicion/createSuspicions/index.js'
import { choosePath, type EngineLoad } from '../choosePath/index.js'

/** What engines cover. */
export interface Coverage {
  /** Every layer has a holder, over whatever links. */
  isWhole: boolean
  /** A path with the usual number of crossings exists. */
  isUsual: boolean
}

/** How long an answer is kept, in milliseconds; a small part of the time that a repair takes. */
const KEPT_MS = 100

const NO_LOAD: EngineLoad = { tokenLayers: 0, sequences: 0, firstSequences: 0 }

/**
 * @name createCoverageCheck
 * @summary A check that works the answer out at most ten times a second for each service.
 * @param options - Fleet, suspicions and runtime.
 * @returns The check.
 *
 * @example
 * const checkCoverage = createCoverageCheck({ fleet, suspicions, runtime })
 * if (!checkCoverage(service).isWhole) refuse()
 */
export function createCoverageCheck (options: { fleet: FleetState, suspicions: Suspicions, runtime: Runtime }): (service: Service) => Coverage {
  const { fleet, suspicions, runtime } = options
  const kept = new Map<string, { coverage: Coverage, untilMs: number }>()

  function check (service: Service): Coverage {
    const model = service.model!
    const engines = fleet.servingTargets(service.name).filter(target => !suspicions.isDown(target.id))
    const ranges = engines.flatMap(target => target.layers ?? []).sort((a, b) => a.from - b.from)
    let covered = 0
    for (const { from, to } of ranges) if (from <= covered) covered = Math.max(covered, to)
    const isWhole = covered >= model.layerCount
    const size = { promptTokens: model.usualPromptTokens, outputTokens: model.usualOutputTokens }
    const isUsual = isWhole && choosePath(engines, size, { model, loadOf: () => NO_LOAD, slownessOf: () => 1, isOvercommitted: true }) !== undefined
    return { isWhole, isUsual }
  }

  return service => {
    const known = kept.get(service.name)
    if (known !== undefined && known.untilMs > runtime.monotonicMs()) return known.coverage
    const coverage = check(service)
    kept.set(service.name, { coverage, untilMs: runtime.monotonicMs() + KEPT_MS })
    return coverage
  }
}
