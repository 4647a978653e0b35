/**
 * Carries out one planned load: reads the engine's state, orders the layers, and waits until the
 * engine reports them. An order that another holder of the lease gave before is waited for rather
 * than given again, and what the engine reports then goes before the plan.
 */
import type { EventLog } from '../../event/types.js'
import type { FleetState } from '../../fleet/createFleetState/index.js'
import type { EngineModel, LayerRange } from '../../fleet/types.js'
import type { GatewayMetrics } from '../../gateway/createGatewayMetrics/index.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import type { Suspicions } from '../../suspicion/createSuspicions/index.js'
import type { EngineControl, EngineReport, PlannedLoad } from '../types.js'

/** Interval at which a loading engine is polled. */
const POLL_MS = 120

/** Share of the expected load time after which the engine is polled for the first time. */
const FIRST_POLL_SHARE = 0.6

/** Timeout of a load as a multiple of its expected time. */
const LOAD_TIMEOUT_FACTOR = 4

/** Shortest timeout of a load. */
const MIN_LOAD_TIMEOUT_MS = 4_000

/** Dependencies of a load. */
export interface LoadOptions {
  model: EngineModel
  fleet: FleetState
  suspicions: Suspicions
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

/**
 * @name executeLoad
 * @summary Orders one load and waits for its end.
 * @param load - The engine and its layers.
 * @param options - The model and the gateway's ports.
 * @returns Whether the engine reported layers, those ordered or others that it held already.
 *
 * @example
 * const isLoaded = await executeLoad({ target, range }, options)
 */
export async function executeLoad ({ target, range }: PlannedLoad, options: LoadOptions): Promise<boolean> {
  const { model, fleet, suspicions, control, runtime, log, metrics, signal, fencing, onLoaded } = options
  const startedMs = runtime.monotonicMs()
  const expectedMs = model.loadMs * (range.to - range.from) / model.layerCount
  const timeoutMs = Math.max(MIN_LOAD_TIMEOUT_MS, expectedMs * LOAD_TIMEOUT_FACTOR)

  /** Polls the engine until it reports no order in progress; `undefined` when it restarts, is lost or takes too long. */
  async function pollUntil (isDone: (report: EngineReport) => boolean): Promise<EngineReport | undefined> {
    while (!signal.aborted && runtime.monotonicMs() - startedMs < timeoutMs && fleet.isServing(target)) {
      const report = await control.report(target)
      if (report === undefined || report.bornMs !== target.bornMs) return undefined
      if (isDone(report)) return report
      await sleep(POLL_MS, { runtime, signal })
    }
    return undefined
  }

  function noteLayers (layers: LayerRange): true {
    fleet.recordSeenLayers({ targetId: target.id, bornMs: target.bornMs, layers })
    log.emit('layersLoaded', { target: target.id, from: layers.from, to: layers.to, tookMs: Math.round(runtime.monotonicMs() - startedMs) })
    onLoaded()
    return true
  }

  const report = await control.report(target)
  if (report === undefined) {
    suspicions.note(target.id, 'unreachable')
    return false
  }
  if (report.bornMs !== target.bornMs) return false
  const before = report.isBusy ? await pollUntil(({ isBusy }) => !isBusy) : report
  if (before === undefined) return false
  const hasOtherLayers = before.layers !== undefined && !isSameRange(before.layers, target.layers)
  if (hasOtherLayers) return noteLayers(before.layers!)
  const number = fencing()
  if (number === undefined) return false
  const result = await control.place(target, range, { orderCount: before.orderCount, fencing: number })
  metrics.orders.inc({ operation: 'place', result: result.kind })
  log.emit('orderSent', { target: target.id, from: range.from, to: range.to, result: result.kind, orderCount: before.orderCount, fencing: number })
  if (result.kind === 'refused') return false
  if (result.kind === 'done') return noteLayers(range)
  await sleep(expectedMs * FIRST_POLL_SHARE, { runtime, signal })
  const hasLoaded = ({ isBusy, layers }: EngineReport): boolean => !isBusy && isSameRange(layers, range)
  const wasIgnored = ({ isBusy, orderCount }: EngineReport): boolean => result.kind === 'unknown' && !isBusy && orderCount === before.orderCount
  const after = await pollUntil(polled => hasLoaded(polled) || wasIgnored(polled))
  if (after !== undefined && hasLoaded(after)) return noteLayers(range)
  log.emit('orderRefused', { target: target.id, from: range.from, to: range.to, cause: 'engine did not report the layers as loaded', tookMs: Math.round(runtime.monotonicMs() - startedMs) })
  return false
}

function isSameRange (one: LayerRange | undefined, other: LayerRange | undefined): boolean {
  return one?.from === other?.from && one?.to === other?.to
}
