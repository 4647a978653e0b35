/**
 * Graceful shutdown, in this order: withdraw readiness, serve what the load balancer still sends,
 * and only then stop accepting connections.
 */
import type { OpenCall, OpenCalls } from '../../http/createOpenCalls/index.js'
import { sleep } from '../../runtime/sleep/index.js'
import { createRefusal } from '../../verdict/createRefusal/index.js'
import type { Refusal } from '../../verdict/types.js'
import type { Daemon } from '../types.js'

/** Gossip rounds to wait for, so that the other members learn that this daemon is leaving. */
const LEAVING_GOSSIP_ROUNDS = 2

/** Delay after which a caller whose request was aborted by the shutdown should retry; another host serves it. */
const RETRY_AFTER_MS = 1_000

/** Options of `drainDaemon`. */
export interface DrainOptions {
  /** Ends the drain early: calls still in flight are ended with a refusal. */
  signal: AbortSignal
  /** Calls in flight on the caller port, if the daemon has one. */
  calls?: OpenCalls
  /** Closes the caller port to new connections. */
  stopAccepting?: () => void
}

/**
 * @name drainDaemon
 * @summary Drains a daemon; when the signal aborts, ends each remaining call with a refusal.
 * @param daemon - The daemon.
 * @param options - Signal and, for an entry daemon, the calls of its caller port.
 *
 * @example
 * await drainDaemon(daemon, { signal, calls, stopAccepting })
 */
export async function drainDaemon (daemon: Daemon, options: DrainOptions): Promise<void> {
  const { signal, calls, stopAccepting = () => {} } = options
  const { runtime, settings, operatorCalls, log } = daemon
  const callSets = calls === undefined ? [operatorCalls] : [calls, operatorCalls]
  const inFlight = (): number => callSets.reduce((sum, { size }) => sum + size(), 0)
  daemon.drain()
  log.emit('processDraining', { inFlight: inFlight() })
  const leavingMs = LEAVING_GOSSIP_ROUNDS * settings.gossip.intervalMs
  const waitMs = calls === undefined ? leavingMs : Math.max(settings.shutdown.balancerLagMs, leavingMs)
  await sleep(waitMs, { runtime, signal })
  for (const { whenIdle } of callSets) await whenIdle(signal)
  stopAccepting()
  for (const { whenIdle } of callSets) await whenIdle(signal)
  if (!signal.aborted) return
  log.emit('drainCut', { inFlight: inFlight() })
  await Promise.all(callSets.map(({ endAll }) => endAll(call => refuseOpenCall(call, daemon))))
}

/**
 * Creates and records the refusal that ends a call in flight. A call without `mayHaveRun`
 * reached no target and certainly did not run.
 */
function refuseOpenCall ({ request, mayHaveRun }: OpenCall, daemon: Daemon): Refusal {
  const refusal = daemon.refusals.add(createRefusal('draining', {
    ...(mayHaveRun ? { verdict: { kind: 'mayHaveRun' } } : {}),
    facts: { revision: daemon.holder.current().head.revision, host: daemon.settings.host },
    retryAfterMs: RETRY_AFTER_MS
  }), { request })
  daemon.metrics.requests.inc({ outcome: 'draining' })
  daemon.log.emit('requestCut', { request, refusal: refusal.id, verdict: refusal.verdict.kind })
  return refusal
}
