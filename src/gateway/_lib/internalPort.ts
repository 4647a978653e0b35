/**
 * The internal HTTP endpoints of a gateway, for its peers and the metrics collector, and the
 * client that reads a peer's state.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { gunzipSync, gzipSync } from 'node:zlib'
import { request } from 'undici'
import { z } from 'zod'
import type { EventLog } from '../../event/types.js'
import type { FleetState } from '../../fleet/createFleetState/index.js'
import { fleetConfigurationSchema, targetUpdateSchema } from '../../fleet/types.js'
import { readBoundedBody } from '../../http/readBoundedBody/index.js'
import { sendJson } from '../../http/sendJson/index.js'
import { rejectOnAbort } from '../../runtime/rejectOnAbort/index.js'
import { withDeadline } from '../../runtime/withDeadline/index.js'
import type { Runtime } from '../../runtime/types.js'
import { describeServices } from '../../placement/describeServices/index.js'
import type { GatewayMetrics } from '../createGatewayMetrics/index.js'
import type { PlaceExplanation } from './explainPlace.js'

/** State as a peer sends it: what the requesting host does not have yet. */
const stateSchema = z.object({
  /** `null` if the requesting host's version is not lower. */
  configuration: fleetConfigurationSchema.nullable(),
  targets: targetUpdateSchema
})

/** Query of a state request: what the requesting host has, and how long it waits for a change. */
const querySchema = z.object({
  version: z.coerce.number().default(-1),
  fingerprint: z.string().default(''),
  waitMs: z.coerce.number().min(0).default(0)
})

/** Deadline for reading a peer's state, not counting the long poll, in milliseconds; a megabyte takes about 10 ms. */
const STATE_TIMEOUT_MS = 500

/** How long a peer holds a long poll without a change, in milliseconds; half as long as a watch on the store, because an unresponsive peer is only detected when this wait is over. */
const LONG_POLL_MS = 2_000

/** Largest state that is read, compressed or not, in bytes; several times that of the largest fleet. */
const MAX_STATE_BYTES = 16 * 2 ** 20

/** Compression level of `/state`; the fastest takes a configuration to a sixth of its size. */
const COMPRESSION_LEVEL = 1

/** Dependencies of the internal endpoints. */
export interface InternalPortOptions {
  fleet: FleetState
  metrics: GatewayMetrics
  runtime: Runtime
  /** Updates the gauges before the metrics are read. */
  updateMetrics: () => void
  /** Whether requests may be sent to a target; to all by default. */
  isUsable?: (targetId: string) => boolean
  /** Answers where a request would go now; the endpoint is absent without it. */
  explainPlace?: (query: URLSearchParams) => PlaceExplanation
}

/** Compresses answers; the children of a host mostly ask for the same at the same time, so the last answer is kept. */
function createCompressor (): (text: string) => Buffer {
  let last: { text: string, compressed: Buffer } | undefined
  return text => {
    if (last?.text !== text) last = { text, compressed: gzipSync(text, { level: COMPRESSION_LEVEL }) }
    return last.compressed
  }
}

/** Serves `/state`, `/placement`, `/where` and `/metrics`. */
export function createInternalHandler ({ fleet, metrics, runtime, updateMetrics: observe, isUsable = () => true, explainPlace }: InternalPortOptions): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
  /** Resolves once there is something that the requesting host lacks, the wait is over, or the connection has closed. */
  function waitForChange ({ version, fingerprint, waitMs }: z.infer<typeof querySchema>, response: ServerResponse): Promise<void> {
    const isAnswerDue = (): boolean => fleet.fingerprint() !== fingerprint || (fleet.configuration()?.version ?? -1) > version
    if (waitMs <= 0 || isAnswerDue()) return Promise.resolve()
    return new Promise(resolve => {
      const finish = (): void => {
        timer[Symbol.dispose]()
        subscription[Symbol.dispose]()
        resolve()
      }
      const timer = runtime.setTimer(waitMs, finish)
      const subscription = fleet.onChange(() => { if (isAnswerDue()) finish() })
      response.once('close', finish)
    })
  }

  const compress = createCompressor()

  return async (incoming, response) => {
    const url = new URL(incoming.url ?? '/', 'http://host')
    if (url.pathname === '/state') {
      const query = querySchema.safeParse(Object.fromEntries(url.searchParams))
      if (!query.success) return sendJson(response, 400, {})
      const { version, fingerprint } = query.data
      await waitForChange(query.data, response)
      const configuration = fleet.configuration()
      const isNewer = configuration !== undefined && configuration.version > version
      const state: z.infer<typeof stateSchema> = { configuration: isNewer ? configuration : null, targets: fleet.updateSince(fingerprint) }
      const body = compress(JSON.stringify(state))
      response.writeHead(200, { 'content-type': 'application/json', 'content-encoding': 'gzip', 'content-length': body.length })
      response.end(body)
    } else if (url.pathname === '/placement') {
      sendJson(response, 200, describeServices(fleet, { isUsable }))
    } else if (url.pathname === '/metrics') {
      observe()
      const text = await metrics.registry.metrics()
      response.writeHead(200, { 'content-type': metrics.registry.contentType })
      response.end(text)
    } else if (url.pathname === '/where' && explainPlace !== undefined) {
      const { status, body } = explainPlace(url.searchParams)
      sendJson(response, status, body)
    } else {
      sendJson(response, 404, {})
    }
  }
}

/** Dependencies and mode of reading a peer's state. */
export interface PeerStateOptions {
  fleet: FleetState
  runtime: Runtime
  log: EventLog
  /** Whether the peer may hold its answer until something changes. */
  isLongPoll?: boolean
}

/** Reads the state of a peer and applies what is newer. Resolves with whether the peer answered and is not behind this host. */
export async function readPeerState (address: string, options: PeerStateOptions): Promise<boolean> {
  const { fleet, runtime, log, isLongPoll = false } = options
  const waitMs = isLongPoll ? LONG_POLL_MS : 0
  const query = new URLSearchParams({ version: String(fleet.configuration()?.version ?? -1), fingerprint: fleet.fingerprint(), waitMs: String(waitMs) })
  using deadline = withDeadline(waitMs + STATE_TIMEOUT_MS, { runtime })
  try {
    const response = await rejectOnAbort(request(`http://${address}/state?${query}`, { signal: deadline.signal, reset: true }), deadline.signal)
    const body = await readBoundedBody(response.body, MAX_STATE_BYTES)
    const text = response.headers['content-encoding'] === 'gzip' ? gunzipSync(body, { maxOutputLength: MAX_STATE_BYTES }) : body
    const { configuration, targets } = stateSchema.parse(JSON.parse(text.toString('utf8')))
    if (configuration !== null && fleet.applyConfiguration(configuration)) {
      log.emit('fleetConfigurationInForce', { version: configuration.version, source: address })
    }
    return applyTargets(targets)
  } catch (error) {
    log.emit('peerUnavailable', { address, cause: error instanceof Error ? error.message : String(error) })
    return false
  }

  function applyTargets ({ era, revision, fingerprint, isWhole, changed, removedIds, lapsing }: z.infer<typeof targetUpdateSchema>): boolean {
    if (fleet.isBehind({ era, revision }) && fingerprint !== fleet.fingerprint()) return false
    const before = fleet.fingerprint()
    if (isWhole) fleet.applySnapshot({ era, revision, targets: changed, lapsing })
    else fleet.applyChanges({ era, revision, changed, removedIds, lapsing })
    if (fleet.fingerprint() !== before) log.emit('peerStateRead', { address, revision, isWhole, changedIds: isWhole ? [] : changed.map(target => target.id), removedIds })
    return true
  }
}
