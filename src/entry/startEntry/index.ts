/**
 * Creates the parts of the entry daemon and connects them.
 */
import { drainDaemon } from '../../daemon/drainDaemon/index.js'
import { startDaemon } from '../../daemon/startDaemon/index.js'
import type { Daemon, DaemonPorts } from '../../daemon/types.js'
import type { EngineClient } from '../../engine/types.js'
import { createHttpEngine } from '../../engine/createHttpEngine/index.js'
import { listen, type MalformedReason } from '../../http/listen/index.js'
import { createAdmission } from '../../limit/createAdmission/index.js'
import { rankEntry } from '../../limit/rankEntry/index.js'
import { createLinkFaults } from '../../pipeline/createLinkFaults/index.js'
import { createRouter } from '../../route/createRouter/index.js'
import { createResourceStack } from '../../runtime/createResourceStack/index.js'
import type { Runtime } from '../../runtime/types.js'
import { createHttpService } from '../../service/createHttpService/index.js'
import type { ServiceClient } from '../../service/types.js'
import type { DaemonSettings } from '../../settings/types.js'
import { createRefusal } from '../../verdict/createRefusal/index.js'
import type { Refusal } from '../../verdict/types.js'
import { createCallerHandler } from '../createCallerHandler/index.js'
import { createOpenCalls } from '../../http/createOpenCalls/index.js'
import type { EntryContext } from '../types.js'

/** Connect timeout of service calls, in milliseconds. */
const SERVICE_CONNECT_MS = 500

/** Interfaces of an entry daemon to everything outside its process; tests and embedding programs may replace them. */
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
  /**
   * Reports not ready, serves the requests that still arrive, then closes the caller port and resolves
   * once nothing is in flight. When the signal aborts, the remaining calls are ended with a refusal.
   */
  drain: (options: { signal: AbortSignal }) => Promise<void>
}

/**
 * @name startEntry
 * @summary Starts an entry daemon.
 * @param settings - Validated settings.
 * @param options - The runtime, and `ports` that replace the network interfaces.
 * @returns The entry once it listens; it may not have a configuration yet.
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
  const calls = createOpenCalls({ runtime })
  const router = createRouter({
    ...settings.routing,
    holder: daemon.holder,
    directory: daemon.directory,
    runtime,
    log: daemon.log,
    onBound: (model, boundTokensPerS) => daemon.metrics.boundTokensPerS.set({ model }, boundTokensPerS)
  })
  const routerTask = router.follow(daemon.signal)
  const context: EntryContext = {
    daemon,
    engines,
    services,
    linkFaults: createLinkFaults({ runtime }),
    admission: createAdmission({ router, rank: () => rankEntry(daemon), runtime }),
    keep: calls.keep
  }
  const server = resources.use(await (ports.listen ?? listen)(createCallerHandler(context, { calls }), {
    address: settings.address,
    port: settings.ports.caller,
    headerSizeBytes: settings.limits.headerSizeBytes,
    requestDeadlineMs: settings.limits.bodyDeadlineMs,
    isContinueSentByHandler: true,
    refuseMalformed: reason => refuseMalformedConnection(reason, daemon)
  }))
  daemon.log.emit('processStarted', { caller: server.address, operator: daemon.operatorUrl })
  return {
    daemon,
    callerAddress: server.address,
    inFlight: calls.size,
    drain: ({ signal }) => drainDaemon(daemon, { signal, calls, stopAccepting: server.stopAccepting }),
    async [Symbol.asyncDispose] () {
      await resources[Symbol.asyncDispose]()
      await routerTask
    }
  }
}

/** Records a refusal of a connection on which no request could be parsed, so there is no request ID. */
function refuseMalformedConnection (reason: MalformedReason, daemon: Daemon): Refusal {
  const refusal = daemon.refusals.add(createRefusal(reason, { facts: { revision: daemon.holder.current().head.revision } }), {})
  daemon.metrics.requests.inc({ outcome: reason })
  daemon.log.emit('connectionMalformed', { reason, refusal: refusal.id })
  return refusal
}
