/**
 * Carries the placement plan out while this host holds the control lease: plans from what the
 * engines hold, orders loads, and tells the peers as soon as an engine has its layers.
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

/** Interval of planning; a small part of the time that a load takes. */
const PLAN_INTERVAL_MS = 100

/** Time without a new engine after which the first plan is made, in milliseconds; engines register over several seconds. */
const SETTLED_MS = 700

/** Interval at which a loading engine is asked whether it is done. */
const POLL_MS = 120

/** Part of the expected time of a load after which the engine is asked for the first time. */
const FIRST_POLL_SHARE = 0.6

/** Longest wait for a load as a multiple of its expected time, and the shortest such wait in milliseconds. */
const LOAD_PATIENCE = 4
const LOAD_PATIENCE_MIN_MS = 4_000

/** Wait before an engine that refused or ignored an order is given another, in milliseconds; orders may take effect this much later. */
const REORDER_MS = 2_500

/** What placement works with. */
export interface PlacementOptions {
  fleet: FleetState
  suspicions: Suspicions
  control: EngineControl
  runtime: Runtime
  log: EventLog
  metrics: GatewayMetrics
  signal: AbortSignal
  /** Fencing number while this host may give orders. */
  fencing: () => number | undefined
  /** Called when an engine was seen to have its layers. */
  onLoaded: () => void
}

interface PendingLoad {
  bornMs: number
  range: LayerRange
}

/** Places layers until the signal aborts. */
export async function runPlacement (options: PlacementOptions): Promise<void> {
  const { fleet, suspicions, control, runtime, log, metrics, signal, fencing, onLoaded } = options
  const pending = new Map<string, PendingLoad>()
  const restingUntilMs = new Map<string, number>()
  let knownCount = -1
  let grownMs = runtime.monotonicMs()

  await repeatTask(planServices, { intervalMs: PLAN_INTERVAL_MS, task: 'placement', runtime, log, signal })

  function planServices (): void {
    if (fencing() === undefined) return
    for (const service of fleet.configuration()?.services ?? []) {
      if (service.model !== undefined) planService(service.name, service.model)
    }
  }

  function planService (name: string, model: EngineModel): void {
    const targets = fleet.targets().filter(target => target.service === name)
    if (isStillGrowing(targets)) return
    const engines = targets.map(describe)
    const left = model.loadsAtOnce - pending.size
    const loads = planPlacement(engines, { model })
    const isFirst = engines.every(engine => engine.layers === undefined)
    for (const load of isFirst ? loads : loads.slice(0, Math.max(0, left))) order(load, model)
  }

  /** Waits for the engines of a new deployment, so that the first plan is not made for a few of them. */
  function isStillGrowing (targets: readonly Target[]): boolean {
    if (targets.length !== knownCount) {
      if (targets.length > knownCount) grownMs = runtime.monotonicMs()
      knownCount = targets.length
    }
    const isNew = targets.every(target => target.layers === undefined) && pending.size === 0
    return isNew && (targets.length === 0 || runtime.monotonicMs() - grownMs < SETTLED_MS)
  }

  function describe (target: Target): PlacementEngine {
    const load = pending.get(target.id)
    const isPending = load !== undefined && load.bornMs === target.bornMs
    const isResting = (restingUntilMs.get(target.id) ?? -Infinity) > runtime.monotonicMs()
    return {
      target,
      layers: isPending ? load.range : target.layers,
      isUsable: !target.isLeaving && !suspicions.isUnfit(target.id),
      isIdle: !isPending && !isResting
    }
  }

  async function order (load: PlannedLoad, model: EngineModel): Promise<void> {
    const { target, range } = load
    pending.set(target.id, { bornMs: target.bornMs, range })
    try {
      const isLoaded = await carryOut(load, model)
      if (!isLoaded) restingUntilMs.set(target.id, runtime.monotonicMs() + REORDER_MS)
    } finally {
      pending.delete(target.id)
    }
  }

  /** Orders one load and waits for its end; says whether the engine was seen to hold the layers. */
  async function carryOut ({ target, range }: PlannedLoad, model: EngineModel): Promise<boolean> {
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
    const patienceMs = Math.max(LOAD_PATIENCE_MIN_MS, expectedMs * LOAD_PATIENCE)
    await sleep(expectedMs * FIRST_POLL_SHARE, { runtime, signal })
    while (!signal.aborted && runtime.monotonicMs() - orderedMs < patienceMs && fleet.isServing(target)) {
      const report = await control.report(target)
      if (report === undefined || report.bornMs !== target.bornMs) break
      if (!report.isBusy && report.layers?.from === range.from && report.layers.to === range.to) return noteLoaded(target, range, orderedMs)
      if (result.kind === 'unknown' && !report.isBusy && report.orderCount === before.orderCount) break
      await sleep(POLL_MS, { runtime, signal })
    }
    log.emit('orderRefused', { target: target.id, from: range.from, to: range.to, cause: 'layers not seen', tookMs: Math.round(runtime.monotonicMs() - orderedMs) })
    return false
  }

  function noteLoaded (target: Target, range: LayerRange, orderedMs: number): true {
    fleet.recordSeenLayers({ targetId: target.id, bornMs: target.bornMs, layers: range })
    log.emit('layersLoaded', { target: target.id, from: range.from, to: range.to, tookMs: Math.round(runtime.monotonicMs() - orderedMs) })
    onLoaded()
    return true
  }
}
