/**
 * Brings the engines to the configuration in force while this daemon holds the lease: reads the
 * status of each engine, plans orders, and sends them to the engines that differ. After a change of
 * lease holder or configuration, and again when a status is old, an engine is read anew; in
 * between only engines that may not have reached the configured state are read.
 */
import type { Daemon } from '../../daemon/types.js'
import type { EngineClient, EngineStatus } from '../../engine/types.js'
import { createWeightLoadLimiter } from '../_lib/createWeightLoadLimiter.js'
import { forEachConcurrently } from '../_lib/forEachConcurrently.js'
import type { LeaseClient } from '../createLeaseClient/index.js'
import { planOrders, type HeldOrder, type PlannedOrder } from '../planOrders/index.js'
import { ENGINE_CALL_TIMEOUT_MS } from '../types.js'

/** Age at which the status of a target is read again. */
const STATUS_MAX_AGE_MS = 180_000

/** The same for targets that do not check fencing numbers: they accept late orders of an earlier holder. */
const UNFENCED_STATUS_MAX_AGE_MS = 5_000

/** Most calls to engines in flight at once. */
const MAX_CONCURRENT_CALLS = 16

/** Dependencies of the reconciler. */
export interface EngineReconcilerOptions {
  daemon: Pick<Daemon, 'holder' | 'directory' | 'runtime' | 'log' | 'signal'>
  engines: Pick<EngineClient, 'status' | 'order'>
  lease: Pick<LeaseClient, 'held' | 'leaseForOrder'>
}

/** Reconciles the engines with the configuration. */
export interface EngineReconciler {
  /** Runs one pass over the engines; does nothing while the lease is not held. */
  reconcile: () => Promise<void>
  /** Highest fencing number that an engine reported. */
  highestFencing: () => number
}

/**
 * @name createEngineReconciler
 * @summary A reconciler that has read no engine yet.
 * @param options - The daemon, the engine client and the lease client.
 * @returns The reconciler.
 *
 * @example
 * const reconciler = createEngineReconciler({ daemon, engines, lease })
 * await reconciler.reconcile()
 */
export function createEngineReconciler ({ daemon, engines, lease }: EngineReconcilerOptions): EngineReconciler {
  const { holder, directory, runtime, log } = daemon
  const weightLoadLimiter = createWeightLoadLimiter({ runtime })
  const statuses = new Map<string, EngineStatus>()
  /** Targets to read in the next pass: unreachable, just sent an order, or with an order held back. */
  const unconfirmedTargets = new Set<string>()
  /** Monotonic time of the last status read, by target. */
  const readAtMs = new Map<string, number>()
  /** Fencing number and configuration revision that `readAtMs` belongs to; empty while the lease is not held. */
  let epoch = ''
  let previousFencing: number | undefined
  /** Targets whose orders the last plan held back. */
  let heldTargets = new Set<string>()
  let highestFencing = 0

  const checksFencing = (target: string): boolean => holder.current().targets.get(target)?.checksFencing ?? true

  function isReadDue (target: string): boolean {
    const maxAgeMs = checksFencing(target) ? STATUS_MAX_AGE_MS : UNFENCED_STATUS_MAX_AGE_MS
    return unconfirmedTargets.has(target) || runtime.monotonicMs() - (readAtMs.get(target) ?? -Infinity) >= maxAgeMs
  }

  /**
   * Makes every target due for reading. Drops all statuses when the fencing number of a held lease
   * changed, and empties the rate limit when the lease was taken over from another holder.
   */
  function startEpoch (fencing: number): void {
    if (previousFencing !== undefined && previousFencing !== fencing) statuses.clear()
    if (previousFencing === undefined && fencing > 1) weightLoadLimiter.empty()
    readAtMs.clear()
    previousFencing = fencing
  }

  async function refreshStatus (target: string): Promise<void> {
    const address = directory.address(target)
    if (address === undefined || lease.held() === undefined) return
    const response = await engines.status({ target, address }, { timeoutMs: ENGINE_CALL_TIMEOUT_MS })
    unconfirmedTargets.delete(target)
    if (response.kind === 'unreachable') {
      statuses.delete(target)
      unconfirmedTargets.add(target)
      return
    }
    statuses.set(target, response.status)
    readAtMs.set(target, runtime.monotonicMs())
    highestFencing = Math.max(highestFencing, response.status.fencing)
    if (response.status.leaving) directory.markLeaving(target, 'engine')
  }

  async function sendOrder ({ target, ...state }: PlannedOrder): Promise<void> {
    const address = directory.address(target)
    unconfirmedTargets.add(target)
    if (address === undefined) return
    if (lease.leaseForOrder({ checksFencing: checksFencing(target) }) === undefined) return
    if (!weightLoadLimiter.tryAcquire(holder.current().timeouts.weightLoadsPerMinute)) return
    const heldLease = lease.leaseForOrder({ checksFencing: checksFencing(target) })
    if (heldLease === undefined) return
    const order = { ...state, fencing: heldLease.fencing }
    const result = await engines.order({ target, address }, order, { timeoutMs: ENGINE_CALL_TIMEOUT_MS })
    if (result.kind === 'accepted') log.emit('orderSent', { target, ...order })
    else log.emit('orderRefused', { target, cause: result.cause, fencing: order.fencing })
  }

  /** Logs each order when it is first held back, and has its target read in the next pass. */
  function recordHeldOrders (orders: HeldOrder[]): void {
    for (const { target, model, version, lastPipelineOf } of orders) {
      unconfirmedTargets.add(target)
      if (!heldTargets.has(target)) log.emit('orderHeld', { target, model, version, cause: 'lastPipeline', lastPipelineOf })
    }
    heldTargets = new Set(orders.map(order => order.target))
  }

  return {
    highestFencing: () => highestFencing,
    async reconcile () {
      const heldLease = lease.held()
      if (heldLease === undefined) {
        previousFencing = undefined
        epoch = ''
        return
      }
      const { models, head } = holder.current()
      const currentEpoch = `${heldLease.fencing}/${head.revision}`
      if (currentEpoch !== epoch) startEpoch(heldLease.fencing)
      epoch = currentEpoch
      const placedTargets = [...new Set([...models.values()].flatMap(model => model.placement.map(part => part.target)))]
      const knownTargets = [...new Set([...placedTargets, ...statuses.keys()])]
      const dueTargets = knownTargets.filter(isReadDue)
      if (dueTargets.length === 0) return
      await forEachConcurrently(dueTargets, refreshStatus, { limit: MAX_CONCURRENT_CALLS })
      const plan = planOrders({ models, statuses })
      recordHeldOrders(plan.held)
      await forEachConcurrently(plan.orders, sendOrder, { limit: MAX_CONCURRENT_CALLS })
    }
  }
}
