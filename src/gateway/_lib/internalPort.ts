/**
 * What a gateway serves to its peers and to the collector of metrics, and how it reads the state
 * of a peer.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { request } from 'undici'
import { z } from 'zod'
import type { EventLog } from '../../event/types.js'
import type { FleetState } from '../../fleet/createFleetState/index.js'
import { fleetConfigurationSchema, targetUpdateSchema } from '../../fleet/types.js'
import { sendJson } from '../../http/sendJson/index.js'
import { withDeadline } from '../../runtime/withDeadline/index.js'
import type { Runtime } from '../../runtime/types.js'
import type { GatewayMetrics } from '../createGatewayMetrics/index.js'

/** State as a peer sends it: what the asking host lacks. */
const stateSchema = z.object({
  /** `null` where the asking host's version is not lower. */
  configuration: fleetConfigurationSchema.nullable(),
  targets: targetUpdateSchema
})

/** What a host that asks for state has. */
const querySchema = z.object({
  version: z.coerce.number().default(-1),
  fingerprint: z.string().default(''),
  waitMs: z.coerce.number().min(0).default(0)
})

/** Deadline of reading a peer's state beyond its wait; a megabyte takes about 10 ms. */
const STATE_TIMEOUT_MS = 500

/** How long a peer waits for a change before it answers without one, in milliseconds; half as long as a watch at the store, since a silent peer is found by this wait. */
const CHANGE_WAIT_MS = 2_000

/** What the internal port serves from. */
export interface InternalPortOptions {
  fleet: FleetState
  metrics: GatewayMetrics
  runtime: Runtime
  /** Brings the metrics up to date before they are read. */
  updateMetrics: () => void
}

/** Serves `/state` and `/metrics`. */
export function createInternalHandler ({ fleet, metrics, runtime, updateMetrics: observe }: InternalPortOptions): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
  /** Resolves once the targets differ from those of the asking host, the wait is over or the connection is. */
  function whenChanged (fingerprint: string, waitMs: number, response: ServerResponse): Promise<void> {
    if (waitMs <= 0 || fleet.fingerprint() !== fingerprint) return Promise.resolve()
    return new Promise(resolve => {
      const finish = (): void => {
        timer[Symbol.dispose]()
        subscription[Symbol.dispose]()
        resolve()
      }
      const timer = runtime.setTimer(waitMs, finish)
      const subscription = fleet.onChange(() => { if (fleet.fingerprint() !== fingerprint) finish() })
      response.once('close', finish)
    })
  }

  return async (incoming, response) => {
    const url = new URL(incoming.url ?? '/', 'http://host')
    if (url.pathname === '/state') {
      const query = querySchema.safeParse(Object.fromEntries(url.searchParams))
      if (!query.success) return sendJson(response, 400, {})
      const { version, fingerprint, waitMs } = query.data
      await whenChanged(fingerprint, waitMs, response)
      const configuration = fleet.configuration()
      const isNewer = configuration !== undefined && configuration.version > version
      const state: z.infer<typeof stateSchema> = { configuration: isNewer ? configuration : null, targets: fleet.updateSince(fingerprint) }
      sendJson(response, 200, state)
    } else if (url.pathname === '/metrics') {
      observe()
      const text = await metrics.registry.metrics()
      response.writeHead(200, { 'content-type': metrics.registry.contentType })
      response.end(text)
    } else {
      sendJson(response, 404, {})
    }
  }
}

/** What reading a peer's state works with. */
export interface PeerStateOptions {
  fleet: FleetState
  runtime: Runtime
  log: EventLog
  /** Whether the peer may wait for a change before it answers. */
  isLongPoll?: boolean
}

/** Reads the state of a peer and takes over what is newer; says whether the peer answered and is not behind. */
export async function readPeerState (address: string, options: PeerStateOptions): Promise<boolean> {
  const { fleet, runtime, log, isLongPoll: isWaiting = false } = options
  const waitMs = isWaiting ? CHANGE_WAIT_MS : 0
  const query = new URLSearchParams({ version: String(fleet.configuration()?.version ?? -1), fingerprint: fleet.fingerprint(), waitMs: String(waitMs) })
  using deadline = withDeadline(waitMs + STATE_TIMEOUT_MS, { runtime })
  try {
    const response = await request(`http://${address}/state?${query}`, { signal: deadline.signal, reset: true })
    const { configuration, targets } = stateSchema.parse(await response.body.json())
    if (configuration !== null && fleet.applyConfiguration(configuration)) {
      log.emit('fleetConfigurationInForce', { version: configuration.version, source: address })
    }
    return applyTargets(targets)
  } catch (error) {
    log.emit('peerUnavailable', { address, cause: error instanceof Error ? error.message : String(error) })
    return false
  }

  function applyTargets ({ revision, fingerprint, isWhole, changed, removedIds, lapsing }: z.infer<typeof targetUpdateSchema>): boolean {
    if (revision < fleet.revision() && fingerprint !== fleet.fingerprint()) return false
    const before = fleet.fingerprint()
    if (isWhole) fleet.applySnapshot({ revision, targets: changed, lapsing })
    else fleet.applyChanges({ revision, changed, removedIds, lapsing })
    if (fleet.fingerprint() !== before) log.emit('peerStateRead', { address, revision, isWhole, changedIds: isWhole ? [] : changed.map(target => target.id), removedIds })
    return true
  }
}
