/**
 * Wiring of the entry daemon.
 */
import { startDaemon } from '../../daemon/startDaemon/index.js'
import type { Daemon, DaemonPorts } from '../../daemon/types.js'
import type { EngineClient } from '../../engine/types.js'
import { createHttpEngine } from '../../engine/createHttpEngine/index.js'
import { listen } from '../../http/listen/index.js'
import { createAdmission } from '../../limit/createAdmission/index.js'
import { rankEntry } from '../../limit/rankEntry/index.js'
import { createRouter } from '../../route/createRouter/index.js'
import { createResourceStack } from '../../runtime/createResourceStack/index.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import { createHttpService } from '../../service/createHttpService/index.js'
import type { ServiceClient } from '../../service/types.js'
import type { DaemonSettings } from '../../settings/types.js'
import { createRefusal } from '../../verdict/createRefusal/index.js'
import type { Refusal } from '../../verdict/types.js'
import { createCallerHandler } from '../createCallerHandler/index.js'
import { createOpenCalls, type OpenCall } from '../createOpenCalls/index.js'
import type { EntryContext } from '../types.js'

/** Connect timeout of service calls, in milliseconds. */
const SERVICE_CONNECT_MS = 500

/** When a caller whose request was ended by a shutdown should come back; another host serves it. */
const CUT_RETRY_MS = 1_000

/** The outside of an entry daemon. */
export interface EntryPorts extends DaemonPorts {
  engines: EngineClient
  services: ServiceClient
}

/** A running entry daemon. */
export interface Entry extends AsyncDisposable {
  daemon: Daemon
  /** `ip:port` of the caller port. */
  callerAddress: string
  /** Requests in flight. */
  inFlight: () => number
  /** Withdraws readiness, serves what still comes, and resolves when nothing is in flight. */
  drain: (options: { signal: AbortSignal }) => Promise<void>
}

/**
 * @name startEntry
 * @summary Starts an entry daemon.
 * @param settings - Checked settings.
 * @param options - The runtime, and ports to use in place of the network's.
 * @returns The entry once it listens; it may not be ready yet.
 *
 * @example
 * await using entry = await startEntry(settings, { runtime: createSystemRuntime() })
 */
export async function startEntry (settings: DaemonSettings, options: { runtime: Runtime, ports?: Partial<EntryPorts> }): Promise<Entry> {
  const { runtime, ports = {} } = options
  const resources = createResourceStack()
  const daemon = resources.use(await startDaemon(settings, { role: 'entry', runtime, ports }))
  const engines = resources.use(ports.engines ?? createHttpEngine({ runtime }))
  const services = resources.use(ports.services ?? createHttpService({ connectTimeoutMs: SERVICE_CONNECT_MS, runtime }))
  const calls = createOpenCalls()
  const router = createRouter({
    ...settings.routing,
    holder: daemon.holder,
    directory: daemon.directory,
    runtime,
    log: daemon.log,
    onBound: (model, boundTokensPerS) => daemon.metrics.boundTokensPerS.set({ model }, boundTokensPerS)
  })
  const following = router.follow(daemon.signal)
  const context: EntryContext = {
    daemon,
    engines,
    services,
    admission: createAdmission({ router, rank: () => rankEntry(daemon), runtime }),
    keep: calls.keep
  }
  const server = resources.use(await (ports.listen ?? listen)(createCallerHandler(context, { calls }), {
    address: settings.address, port: settings.ports.caller, headerSizeBytes: settings.limits.headerSizeBytes
  }))
  daemon.log.emit('processStarted', { caller: server.address, operator: daemon.operatorUrl })
  return {
    daemon,
    callerAddress: server.address,
    inFlight: calls.size,
    async drain ({ signal }) {
      daemon.drain()
      daemon.log.emit('processDraining', { inFlight: calls.size() })
      await sleep(settings.shutdown.balancerLagMs, { runtime, signal })
      await calls.whenIdle(signal)
      server.stopAccepting()
      await calls.whenIdle(signal)
      if (!signal.aborted) return
      daemon.log.emit('drainCut', { inFlight: calls.size() })
      await calls.endAll(call => cutRefusal(call, daemon))
    },
    async [Symbol.asyncDispose] () {
      await resources[Symbol.asyncDispose]()
      await following
    }
  }
}

/** A request that reached no target certainly did not run; any other may have. */
function cutRefusal ({ request, isAdmitted }: OpenCall, daemon: Daemon): Refusal {
  const refusal = createRefusal('draining', {
    ...(isAdmitted ? { verdict: { kind: 'mayHaveRun' } } : {}),
    facts: { revision: daemon.holder.current().head.revision, host: daemon.settings.host },
    retryAfterMs: CUT_RETRY_MS
  })
  daemon.refusals.add(refusal, { request })
  daemon.metrics.requests.inc({ outcome: 'draining' })
  daemon.log.emit('requestCut', { request, refusal: refusal.id, verdict: refusal.verdict.kind })
  return refusal
}
