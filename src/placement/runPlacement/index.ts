/**
 * Executes the placement plan while this host holds the control lease: plans from the layers that
 * engines hold, orders loads, and notifies the peers as soon as an engine has loaded its layers.
 */
import type { EngineModel, LayerRange, Target } from '../../fleet/types.js'
import { repeatTask } from '../../runtime/repeatTask/index.js'
import { describePlacement } from '../describePlacement/index.js'
import { executeLoad, type LoadOptions } from '../executeLoad/index.js'
import { findEngineDefect } from '../findEngineDefect/index.js'
import { planPlacement } from '../planPlacement/index.js'
import type { PlacementEngine, PlannedLoad } from '../types.js'

/** Interval of planning; short beside the time that a load takes. */
const PLAN_INTERVAL_MS = 100

/** Time without a new engine after which the first plan of a new deployment is made, in milliseconds; its engines register over several seconds. */
const REGISTRATION_QUIET_MS = 700

/** Wait before an engine that did not carry out an order gets another, in milliseconds; an order may take effect this much later. */
const REORDER_MS = 2_500

/** Time for which every first engine must be in a pause before others load their layers, in milliseconds; short pauses are waited for. */
const FIRSTS_PAUSED_MS = 500

/** Dependencies of placement. */
export interface PlacementOptions extends Omit<LoadOptions, 'model'> {
  /** Time for which a target wants no requests from this host, in milliseconds. */
  pauseLeftMs: (targetId: string) => number
}

/** A load in progress, with the start time of its engine: after a restart the engine no longer has the order. */
interface PendingLoad {
  bornMs: number
  range: LayerRange
}

/** Places layers until the signal aborts. */
export async function runPlacement (options: PlacementOptions): Promise<void> {
  const { fleet, suspicions, pauseLeftMs, runtime, log, signal, fencing } = options
  const pending = new Map<string, PendingLoad>()
  const nextOrderMs = new Map<string, number>()
  /** Engines of each service that are left out, with the cause that was logged. */
  const leftOut = new Map<string, ReadonlyMap<string, string>>()
  /** Since when every first engine of a service has been in a pause. */
  const firstsPausedSinceMs = new Map<string, number>()
  let targetCount = -1
  let lastGrowthMs = runtime.monotonicMs()

  await repeatTask(planServices, { intervalMs: PLAN_INTERVAL_MS, task: 'placement', runtime, log, signal })

  function planServices (): void {
    if (fencing() === undefined) return
    for (const service of fleet.configuration()?.services ?? []) {
      if (service.model !== undefined) planService(service.name, service.model)
    }
  }

  function planService (name: string, model: EngineModel): void {
    const targets = leaveOutDefective(name, model)
    if (isStillRegistering(targets)) return
    const engines = withoutPausedFirsts(name, targets.map(describeEngine))
    const freeLoads = model.loadsAtOnce - pending.size
    const loads = planPlacement(engines, { model })
    const isFirstPlan = engines.every(engine => engine.layers === undefined)
    const ordered = isFirstPlan ? loads : loads.slice(0, Math.max(0, freeLoads))
    if (ordered.length === 0) return
    logPlan(name, ordered, loads.length - ordered.length, targets, model)
    for (const load of ordered) orderLoad(load, model)
  }

  /** Logs what is ordered, and what each failure domain serves until the loads are done. */
  function logPlan (service: string, ordered: readonly PlannedLoad[], deferred: number, targets: readonly Target[], model: EngineModel): void {
    const placement = describePlacement(targets, { model, isUsable: id => !suspicions.isUnfit(id) })
    const rates = placement.map(({ failureDomain, requestsPerSecond, narrowest: { from, to } }) => `${failureDomain} ${requestsPerSecond}/s at layers ${from}-${to}`)
    log.emit('placementPlanned', { service, loads: ordered.length, deferred, pending: pending.size, serving: rates.join(', ') })
  }

  /** The engines without a defect; logs each defect once. */
  function leaveOutDefective (service: string, model: EngineModel): Target[] {
    const defects = new Map<string, string>()
    const sound = fleet.targets().filter(target => {
      if (target.service !== service) return false
      const cause = findEngineDefect(target, { model })
      if (cause === undefined) return true
      const key = `${target.id} ${target.bornMs}`
      defects.set(key, cause)
      if (leftOut.get(service)?.get(key) !== cause) log.emit('engineLeftOut', { target: target.id, cause })
      return false
    })
    leftOut.set(service, defects)
    return sound
  }

  /** Whether engines of a new deployment still register; the first plan waits for them. */
  function isStillRegistering (targets: readonly Target[]): boolean {
    if (targets.length !== targetCount) {
      if (targets.length > targetCount) lastGrowthMs = runtime.monotonicMs()
      targetCount = targets.length
    }
    const isNew = targets.every(target => target.layers === undefined) && pending.size === 0
    return isNew && (targets.length === 0 || runtime.monotonicMs() - lastGrowthMs < REGISTRATION_QUIET_MS)
  }

  function describeEngine (target: Target): PlacementEngine {
    const load = pending.get(target.id)
    const isPending = load !== undefined && load.bornMs === target.bornMs
    const isBackingOff = (nextOrderMs.get(target.id) ?? -Infinity) > runtime.monotonicMs()
    return {
      target,
      layers: isPending ? load.range : target.layers,
      isUsable: !target.isLeaving && !suspicions.isUnfit(target.id),
      isIdle: !isPending && !isBackingOff
    }
  }

  /**
   * Marks the first engines of paths as not usable while all of them are in a pause, so that others
   * load their layers. While one takes requests, the pauses of others are left to the choice of paths.
   */
  function withoutPausedFirsts (service: string, engines: PlacementEngine[]): PlacementEngine[] {
    const firsts = engines.filter(({ isUsable, layers }) => isUsable && layers?.from === 0)
    const nowMs = runtime.monotonicMs()
    if (firsts.length === 0 || !firsts.every(({ target }) => pauseLeftMs(target.id) > 0)) {
      firstsPausedSinceMs.delete(service)
      return engines
    }
    const sinceMs = firstsPausedSinceMs.get(service) ?? nowMs
    firstsPausedSinceMs.set(service, sinceMs)
    if (nowMs - sinceMs < FIRSTS_PAUSED_MS) return engines
    return engines.map(engine => firsts.includes(engine) ? { ...engine, isUsable: false } : engine)
  }

  async function orderLoad (load: PlannedLoad, model: EngineModel): Promise<void> {
    const { target, range } = load
    pending.set(target.id, { bornMs: target.bornMs, range })
    try {
      const isLoaded = await executeLoad(load, { ...options, model })
      if (!isLoaded) nextOrderMs.set(target.id, runtime.monotonicMs() + REORDER_MS)
    } finally {
      pending.delete(target.id)
    }
  }
}
