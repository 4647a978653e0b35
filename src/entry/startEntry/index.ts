/**
 * Wiring of the entry daemon.
 */
import type { ServerResponse } from 'node:http'
import { startDaemon } from '../../daemon/startDaemon/index.js'
import type { Daemon, DaemonPorts } from '../../daemon/types.js'
import type { EngineClient } from '../../engine/types.js'
import { createHttpEngine } from '../../engine/createHttpEngine/index.js'
import { listen } from '../../http/listen/index.js'
import { createLinkFaults } from '../../pipeline/createLinkFaults/index.js'
import { createResourceStack } from '../../runtime/createResourceStack/index.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import { createHttpService } from '../../service/createHttpService/index.js'
import type { ServiceClient } from '../../service/types.js'
import type { DaemonSettings } from '../../settings/types.js'
import { createCallerHandler } from '../createCallerHandler/index.js'
import type { EntryContext } from '../types.js'

/** Connect timeout of service calls, in milliseconds. */
const SERVICE_CONNECT_MS = 500

/** Wait between looks at the requests in flight while draining. */
const DRAIN_POLL_MS = 20

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
  const context: EntryContext = {
    daemon,
    engines,
    services,
    linkFaults: createLinkFaults({ runtime }),
    pick: candidates => candidates[Math.floor(runtime.random() * candidates.length)]!
  }
  const handler = createCallerHandler(context)
  const open = new Set<ServerResponse>()
  const server = resources.use(await (ports.listen ?? listen)(async (request, response) => {
    open.add(response)
    response.once('close', () => open.delete(response))
    if (daemon.isDraining()) response.setHeader('connection', 'close')
    await handler(request, response)
  }, { address: settings.address, port: settings.ports.caller, headerSizeBytes: settings.limits.headerSizeBytes }))
  daemon.log.emit('processStarted', { caller: server.address, operator: daemon.operatorUrl })
  return {
    daemon,
    callerAddress: server.address,
    inFlight: () => open.size,
    async drain ({ signal }) {
      daemon.drain()
      daemon.log.emit('processDraining', { inFlight: open.size })
      await sleep(settings.shutdown.balancerLagMs, { runtime, signal })
      while (open.size > 0 && !signal.aborted) await sleep(DRAIN_POLL_MS, { runtime, signal })
    },
    [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose]()
  }
}
