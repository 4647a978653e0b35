/**
 * The order of a graceful shutdown: readiness is withdrawn first, what the balancer still sends
 * is served, and only then is nothing more accepted.
 */
import type { OpenCall, OpenCalls } from '../../http/createOpenCalls/index.js'
import { sleep } from '../../runtime/sleep/index.js'
import { createRefusal } from '../../verdict/createRefusal/index.js'
import type { Refusal } from '../../verdict/types.js'
import type { Daemon } from '../types.js'

/** Gossip rounds in which the others learn that this daemon is leaving. */
const LEAVING_ROUNDS = 2

/** When a caller whose request was ended by a shutdown should come back; another host serves it. */
const CUT_RETRY_MS = 1_000

/** What a drain works with. */
export interface DrainOptions {
  /** Cuts the drain short. */
  signal: AbortSignal
  /** Calls of the caller port, where there is one. */
  calls?: OpenCalls
  /** Closes the caller port for new connections. */
  stopAccepting?: () => void
}

/**
 * @name drainDaemon
 * @summary Drains a daemon, or ends each call that is left with a verdict when the signal aborts.
 * @param daemon - The daemon.
 * @param options - Signal and, for an entry, its caller port.
 *
 * @example
 * await drainDaemon(daemon, { signal, calls, stopAccepting })
 */
export async function drainDaemon (daemon: Daemon, options: DrainOptions): Promise<void> {
  const { signal, calls, stopAccepting = () => {} } = options
  const { runtime, settings, operatorCalls, log } = daemon
  const open = calls === undefined ? [operatorCalls] : [calls, operatorCalls]
  const inFlight = (): number => open.reduce((sum, { size }) => sum + size(), 0)
  daemon.drain()
  log.emit('processDraining', { inFlight: inFlight() })
  const leavingMs = LEAVING_ROUNDS * settings.gossip.intervalMs
  const waitMs = calls === undefined ? leavingMs : Math.max(settings.shutdown.balancerLagMs, leavingMs)
  await sleep(waitMs, { runtime, signal })
  for (const { whenIdle } of open) await whenIdle(signal)
  stopAccepting()
  for (const { whenIdle } of open) await whenIdle(signal)
  if (!signal.aborted) return
  log.emit('drainCut', { inFlight: inFlight() })
  await Promise.all(open.map(({ endAll }) => endAll(call => cutCall(call, daemon))))
}

/** A request that reached no target certainly did not run; any other may have. */
function cutCall ({ request, mayHaveRun }: OpenCall, daemon: Daemon): Refusal {
  const refusal = daemon.refusals.add(createRefusal('draining', {
    ...(mayHaveRun ? { verdict: { kind: 'mayHaveRun' } } : {}),
    facts: { revision: daemon.holder.current().head.revision, host: daemon.settings.host },
    retryAfterMs: CUT_RETRY_MS
  }), { request })
  daemon.metrics.requests.inc({ outcome: 'draining' })
  daemon.log.emit('requestCut', { request, refusal: refusal.id, verdict: refusal.verdict.kind })
  return refusal
}
