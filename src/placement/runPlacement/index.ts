/**
 * Executes the placement plan while this host holds the control lease: plans from the layers that
 * engines hold, orders loads, and notifies the peers as soon as an engine has loaded its layers.
 */
import type { EventLog } from '../../event/types.js'
import type { FleetState } from '../../fleet/createFleetState/index.js'
import type { EngineModel, LayerRange, Target } from '../../fleet/types.js'
import type { GatewayMetrics } from '../../gateway/createGatewayMetrics/index.js'
import { repeatTask } from '../../runtime/repeatTask/index.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import type { Suspicions } from '../../suspicion/createSuspicions/index.js'
import { planPlacement } from '../planPlacement/index.js'
import type { EngineControl, PlacementEngine, PlannedLoad } from '../types.js'

/** Interval of planning; short beside the time that a load takes. */
const PLAN_INTERVAL_MS = 100

/** Time without a new engine after which the first plan of a new deployment is made, in milliseconds; its engines register over several seconds. */
const REGISTRATION_QUIET_MS = 700

/** Interval at which a loading engine is polled. */
const POLL_MS = 120

/** Share of the expected load time after which the engine is polled for the first time. */
const FIRST_POLL_SHARE = 0.6

/** Timeout of a load as a multiple of its expected time. */
const LOAD_TIMEOUT_FACTOR = 4

/** Shortest timeout of a load. */
const MIN_LOAD_TIMEOUT_MS = 4_000

/** Wait before an engine that did not carry out an order gets another, in milliseconds; an order may take effect this much later. */
const REORDER_MS = 2_500

/** Time for which every first engine must be in a pause before others load their layers, in milliseconds; short pauses are waited for. */
const FIRSTS_PAUSED_MS = 500

/** Dependencies of placement. */
export interface PlacementOptions {
  fleet: FleetState
  suspicions: Suspicions
  /** Time for which a target wants no requests from this host, in milliseconds. */
  pauseLeftMs: (targetId: string) => number
  control: EngineControl
  runtime: Runtime
  log: EventLog
  metrics: GatewayMetrics
  signal: AbortSignal
  /** Fencing number while this host holds the control lease, `undefined` otherwise. */
  fencing: () => number | undefined
  /** Called when an engine reports that it has loaded its layers. */
  onLoaded: () => void
}

/** A load in progress, with the start time of its engine: after a restart the engine no longer has the order. */
interface PendingLoad {
  bornMs: number
  range: LayerRange
}

/** Places layers until the signal aborts. */
export async function runPlacement (options: PlacementOptions): Promise<void> {
  const { fleet, suspicions, pauseLeftMs, control, runtime, log, metrics, signal, fencing, onLoaded } = options
  const pending = new Map<string, PendingLoad>()
  const nextOrderMs = new Map<string, number>()
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
    const targets = fleet.targets().filter(target => target.service === name)
    if (isStillRegistering(targets)) return
    const engines = withoutPausedFirsts(name, targets.map(describeEngine))
    const freeLoads = model.loadsAtOnce - pending.size
    const loads = planPlacement(engines, { model })
    const isFirstPlan = engines.every(engine => engine.layers === undefined)
    for (const load of isFirstPlan ? loads : loads.slice(0, Math.max(0, freeLoads))) orderLoad(load, model)
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
      const isLoaded = await executeLoad(load, model)
      if (!isLoaded) nextOrderMs.set(target.id, runtime.monotonicMs() + REORDER_MS)
    } finally {
      pending.delete(target.id)
    }
  }

  /** Orders one load and waits for its end; resolves to whether the engine reported the layers. */
  async function executeLoad ({ target, range }: PlannedLoad, model: EngineModel): Promise<boolean> {
    const orderedMs = runtime.monotonicMs()
    const before = await control.report(target)
    if (before === undefined) {
      suspicions.note(target.id, 'unreachable')
      return false
    }
    const number = fencing()
    if (before.isBusy || number === undefined || before.bornMs !== target.bornMs) return false
    const result = await control.place(target, range, { orderCount: before.orderCount, fencing: number })
    metrics.orders.inc({ operation: 'place', result: result.kind })
    log.emit('orderSent', { target: target.id, from: range.from, to: range.to, result: result.kind, orderCount: before.orderCount, fencing: number })
    if (result.kind === 'refused') return false
    if (result.kind === 'done') return noteLoaded(target, range, orderedMs)
    const expectedMs = model.loadMs * (range.to - range.from) / model.layerCount
    const timeoutMs = Math.max(MIN_LOAD_TIMEOUT_MS, expectedMs * LOAD_TIMEOUT_FACTOR)
    await sleep(expectedMs * FIRST_POLL_SHARE, { runtime, signal })
    while (!signal.aborted && runtime.monotonicMs() - orderedMs < timeoutMs && fleet.isServing(target)) {
      const report = await control.report(target)
      if (report === undefined || report.bornMs !== target.bornMs) break
      if (!report.isBusy && report.layers?.from === range.from && report.layers.to === range.to) return noteLoaded(target, range, orderedMs)
      if (result.kind === 'unknown' && !report.isBusy && report.orderCount === before.orderCount) break
      await sleep(POLL_MS, { runtime, signal })
    }
    log.emit('orderRefused', { target: target.id, from: range.from, to: range.to, cause: 'engine did not report the layers as loaded', tookMs: Math.round(runtime.monotonicMs() - orderedMs) })
    return false
  }

  function noteLoaded (target: Target, range: LayerRange, orderedMs: number): true {
    fleet.recordSeenLayers({ targetId: target.id, bornMs: target.bornMs, layers: range })
    log.emit('layersLoaded', { target: target.id, from: range.from, to: range.to, tookMs: Math.round(runtime.monotonicMs() - orderedMs) })
    onLoaded()
    return true
  }
}
