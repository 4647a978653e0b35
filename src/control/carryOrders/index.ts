/**
 * One pass of the lease's holder over the engines: read back what they serve, plan, and order
 * what differs. Reads everything after a change of holder or configuration and at long
 * intervals; in between only what is not yet as it should be.
 */
import type { Daemon } from '../../daemon/types.js'
import type { EngineClient, EngineStatus } from '../../engine/types.js'
import { createLoadBudget } from '../_lib/createLoadBudget.js'
import { forEachBounded } from '../_lib/forEachBounded.js'
import type { LeaseClaim } from '../holdLease/index.js'
import { planOrders, type HeldOrder, type PlannedOrder } from '../planOrders/index.js'
import { ENGINE_CALL_MS } from '../types.js'

/** Longest time between full readings; shorter for targets that accept orders of any holder. */
const READ_ALL_MS = 180_000
const READ_UNFENCED_MS = 5_000

/** Calls to engines under way together. */
const CALLS_AT_ONCE = 16

/** What the passes work with. */
export interface CarryOrdersOptions {
  daemon: Pick<Daemon, 'holder' | 'directory' | 'runtime' | 'log' | 'signal'>
  engines: Pick<EngineClient, 'status' | 'order'>
  claim: Pick<LeaseClaim, 'held' | 'mayOrder'>
}

/** The holder's passes. */
export interface OrderCarrier {
  /** Does nothing while the lease is not held. */
  pass: () => Promise<void>
  /** Highest fencing number that an engine reported. */
  highestFencing: () => number
}

/**
 * @name createOrderCarrier
 * @summary A carrier that has read nothing yet.
 * @param options - The daemon, the engine client and the claim on the lease.
 * @returns The carrier.
 *
 * @example
 * const carrier = createOrderCarrier({ daemon, engines, claim })
 * await carrier.pass()
 */
export function createOrderCarrier ({ daemon, engines, claim }: CarryOrdersOptions): OrderCarrier {
  const { holder, directory, runtime, log } = daemon
  const budget = createLoadBudget({ runtime })
  const statuses = new Map<string, EngineStatus>()
  const unsettled = new Set<string>()
  const readAtMs = new Map<string, number>()
  let basis = ''
  let fencing: number | undefined
  let held = new Set<string>()
  let highestFencing = 0

  const checksFencing = (target: string): boolean => holder.current().targets.get(target)?.checksFencing ?? true

  function isDue (target: string): boolean {
    const maxAgeMs = checksFencing(target) ? READ_ALL_MS : READ_UNFENCED_MS
    return unsettled.has(target) || runtime.monotonicMs() - (readAtMs.get(target) ?? -Infinity) >= maxAgeMs
  }

  /** Forgets what was read under another lease or for another configuration. */
  function startOver (now: number): void {
    if (fencing !== undefined && fencing !== now) statuses.clear()
    if (fencing === undefined && now > 1) budget.empty()
    readAtMs.clear()
    fencing = now
  }

  async function readBack (target: string): Promise<void> {
    const address = directory.address(target)
    if (address === undefined || claim.held() === undefined) return
    const read = await engines.status({ target, address }, { timeoutMs: ENGINE_CALL_MS })
    unsettled.delete(target)
    if (read.kind === 'unreachable') {
      statuses.delete(target)
      unsettled.add(target)
      return
    }
    statuses.set(target, read.status)
    readAtMs.set(target, runtime.monotonicMs())
    highestFencing = Math.max(highestFencing, read.status.fencing)
    if (read.status.leaving) directory.markLeaving(target, 'engine')
  }

  async function send ({ target, ...state }: PlannedOrder): Promise<void> {
    const address = directory.address(target)
    unsettled.add(target)
    if (address === undefined) return
    if (claim.mayOrder({ checksFencing: checksFencing(target) }) === undefined) return
    if (!budget.take(holder.current().timeouts.weightLoadsPerMinute)) return
    const lease = claim.mayOrder({ checksFencing: checksFencing(target) })
    if (lease === undefined) return
    const order = { ...state, fencing: lease.fencing }
    const result = await engines.order({ target, address }, order, { timeoutMs: ENGINE_CALL_MS })
    if (result.kind === 'accepted') log.emit('orderSent', { target, ...order })
    else log.emit('orderRefused', { target, cause: result.cause, fencing: order.fencing })
  }

  function noteHeld (orders: HeldOrder[]): void {
    for (const { target, model, version, lastPipelineOf } of orders) {
      unsettled.add(target)
      if (!held.has(target)) log.emit('orderHeld', { target, model, version, cause: 'lastPipeline', lastPipelineOf })
    }
    held = new Set(orders.map(order => order.target))
  }

  return {
    highestFencing: () => highestFencing,
    async pass () {
      const lease = claim.held()
      if (lease === undefined) {
        fencing = undefined
        basis = ''
        return
      }
      const { models, head } = holder.current()
      const now = `${lease.fencing}/${head.revision}`
      if (now !== basis) startOver(lease.fencing)
      basis = now
      const placed = [...new Set([...models.values()].flatMap(model => model.placement.map(part => part.target)))]
      const known = [...new Set([...placed, ...statuses.keys()])]
      const due = known.filter(isDue)
      if (due.length === 0) return
      await forEachBounded(due, readBack, { limit: CALLS_AT_ONCE })
      const plan = planOrders({ models, statuses })
      noteHeld(plan.held)
      await forEachBounded(plan.orders, send, { limit: CALLS_AT_ONCE })
    }
  }
}
