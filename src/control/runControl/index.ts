/**
 * The tasks of a control daemon: keep or take the lease, and while it is held carry the
 * configuration in force to the engines. The lease is renewed beside the orders, so that slow
 * engines do not make it lapse.
 */
import type { Daemon } from '../../daemon/types.js'
import type { EngineClient } from '../../engine/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import { isLeaseCandidate } from '../_lib/isLeaseCandidate.js'
import { createOrderCarrier, type OrderCarrier } from '../carryOrders/index.js'
import { createLeaseClient, type LeaseClient } from '../createLeaseClient/index.js'

/** Duration of the lease, and waits between renewals and between passes over the engines. */
export const LEASE_MS = 6_000
const RENEW_EVERY_MS = 1_000
const PASS_EVERY_MS = 500

/** What the tasks work with. */
export interface RunControlOptions {
  daemon: Pick<Daemon, 'settings' | 'store' | 'runtime' | 'log' | 'signal' | 'holder' | 'directory' | 'table'>
  engines: Pick<EngineClient, 'status' | 'order'>
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
  const { settings, store, runtime, signal } = options.daemon
  const claim = createLeaseClient({ holder: settings.host, durationMs: LEASE_MS, store, runtime })
  const carrier = createOrderCarrier({ ...options, claim })

  async function passes (): Promise<void> {
    while (!signal.aborted) {
      await carrier.pass()
      await sleep(PASS_EVERY_MS, { runtime, signal })
    }
  }

  await Promise.all([keepLease(claim, carrier, options), passes()])
}

async function keepLease (claim: LeaseClient, carrier: OrderCarrier, { daemon }: RunControlOptions): Promise<void> {
  const { runtime, log, signal, table } = daemon
  let fencing: number | undefined
  while (!signal.aborted) {
    const fencingAbove = carrier.highestFencing()
    if (fencing !== undefined && fencingAbove > fencing) log.emit('fencingOutranked', { fencing, reported: fencingAbove })
    const stands = claim.held() !== undefined || isLeaseCandidate(table.self(), table.live())
    if (stands) await claim.step({ fencingAbove: fencing !== undefined && fencingAbove > fencing ? fencingAbove : 0 })
    const now = claim.held()?.fencing
    if (now !== undefined && now !== fencing) log.emit('leaseAcquired', { fencing: now })
    if (now === undefined && fencing !== undefined) log.emit('leaseLost', { fencing })
    fencing = now
    await sleep(RENEW_EVERY_MS, { runtime, signal })
  }
}
