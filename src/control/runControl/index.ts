/**
 * Tasks of a control daemon: acquire and renew the lease and, while it is held, bring the engines to
 * the configuration in force. The two run concurrently, so that slow engines do not delay a renewal
 * until the lease expires.
 */
import type { Daemon } from '../../daemon/types.js'
import type { EngineClient } from '../../engine/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import { isLeaseCandidate } from '../_lib/isLeaseCandidate.js'
import { createEngineReconciler, type EngineReconciler } from '../createEngineReconciler/index.js'
import { createLeaseClient, type LeaseClient } from '../createLeaseClient/index.js'

/** Duration of the lease, and waits between renewals and between passes over the engines. */
export const LEASE_DURATION_MS = 6_000
const RENEW_INTERVAL_MS = 1_000
const RECONCILE_INTERVAL_MS = 500

/** Dependencies of the tasks. */
export interface RunControlOptions {
  daemon: Pick<Daemon, 'settings' | 'store' | 'runtime' | 'log' | 'signal' | 'holder' | 'directory' | 'table'>
  engines: Pick<EngineClient, 'status' | 'order'>
}

/**
 * @name runControl
 * @summary Keeps the engines at the configuration in force while this daemon holds the lease.
 * @param options - The daemon and the engine client.
 * @returns A promise that resolves when the daemon stops.
 *
 * @example
 * const task = runControl({ daemon, engines })
 */
export async function runControl (options: RunControlOptions): Promise<void> {
  const { settings, store, runtime, signal } = options.daemon
  const lease = createLeaseClient({ holder: settings.host, durationMs: LEASE_DURATION_MS, store, runtime })
  const reconciler = createEngineReconciler({ ...options, lease })

  async function reconcileUntilStopped (): Promise<void> {
    while (!signal.aborted) {
      await reconciler.reconcile()
      await sleep(RECONCILE_INTERVAL_MS, { runtime, signal })
    }
  }

  await Promise.all([maintainLease(lease, reconciler, options), reconcileUntilStopped()])
}

/**
 * Acquires or renews the lease until the daemon stops, and logs each change. If an engine reports a
 * higher fencing number than the lease has, as after a restore of the store, the lease is renewed
 * with one above it.
 */
async function maintainLease (lease: LeaseClient, reconciler: EngineReconciler, { daemon }: RunControlOptions): Promise<void> {
  const { runtime, log, signal, table } = daemon
  let previousFencing: number | undefined
  while (!signal.aborted) {
    const reportedFencing = reconciler.highestFencing()
    if (previousFencing !== undefined && reportedFencing > previousFencing) log.emit('fencingOutranked', { fencing: previousFencing, reported: reportedFencing })
    const isCandidate = lease.held() !== undefined || isLeaseCandidate(table.self(), table.live())
    if (isCandidate) await lease.step({ fencingAbove: previousFencing !== undefined && reportedFencing > previousFencing ? reportedFencing : 0 })
    const currentFencing = lease.held()?.fencing
    if (currentFencing !== undefined && currentFencing !== previousFencing) log.emit('leaseAcquired', { fencing: currentFencing })
    if (currentFencing === undefined && previousFencing !== undefined) log.emit('leaseLost', { fencing: previousFencing })
    previousFencing = currentFencing
    await sleep(RENEW_INTERVAL_MS, { runtime, signal })
  }
}
