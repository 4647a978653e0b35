/**
 * The task of a control daemon: hold the lease, compare each engine's state with the
 * configuration in force, and order what differs.
 */
import type { Daemon } from '../../daemon/types.js'
import type { EngineClient, EngineOrder, EngineStatus } from '../../engine/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import { createLeaseClaim, type LeaseClaim } from '../holdLease/index.js'

/** Duration of the lease, and wait between renewals. */
const LEASE_MS = 6_000
const STEP_MS = 1_000

/** Deadline of one call to an engine. */
const ENGINE_CALL_MS = 2_000

/** What the task works with. */
export interface RunControlOptions {
  daemon: Daemon
  engines: EngineClient
}

/**
 * @name runControl
 * @summary Carries configuration to engines while this daemon holds the lease.
 * @param options - The daemon and the engine client.
 * @returns A promise that resolves when the daemon stops.
 *
 * @example
 * const task = runControl({ daemon, engines })
 */
export async function runControl (options: RunControlOptions): Promise<void> {
  const { daemon } = options
  const { settings, store, runtime, log, signal } = daemon
  const claim = createLeaseClaim({ holder: settings.host, durationMs: LEASE_MS, store, runtime })
  let fencing: number | undefined
  while (!signal.aborted) {
    await claim.step()
    const now = claim.held()?.fencing
    if (now !== undefined && now !== fencing) log.emit('leaseAcquired', { fencing: now })
    if (now === undefined && fencing !== undefined) log.emit('leaseLost', { fencing })
    fencing = now
    if (now !== undefined) await reconcile(claim, options)
    await sleep(STEP_MS, { runtime, signal })
  }
}

async function reconcile (claim: LeaseClaim, { daemon, engines }: RunControlOptions): Promise<void> {
  const { models } = daemon.holder.current()
  for (const [model, { placement, version }] of models) {
    for (const part of placement) {
      const address = daemon.directory.address(part.target)
      if (address === undefined) continue
      const endpoint = { target: part.target, address }
      const read = await engines.status(endpoint, { timeoutMs: ENGINE_CALL_MS })
      const lease = claim.held()
      if (lease === undefined) return
      if (read.kind === 'unreachable') continue
      if (read.status.leaving) daemon.directory.noteLeaving(part.target, 'engine')
      const order: EngineOrder = { model, version, fromLayer: part.fromLayer, toLayer: part.toLayer, fencing: lease.fencing }
      if (matches(read.status, order)) continue
      const result = await engines.order(endpoint, order, { timeoutMs: ENGINE_CALL_MS })
      if (result.kind === 'accepted') daemon.log.emit('orderSent', { target: part.target, ...order })
      else daemon.log.emit('orderRefused', { target: part.target, cause: result.cause, fencing: order.fencing })
    }
  }
}

function matches (status: EngineStatus, order: EngineOrder): boolean {
  return status.model === order.model &&
    status.fromLayer === order.fromLayer &&
    status.toLayer === order.toLayer &&
    status.version === order.version
}
