/**
 * What a gateway serves to its peers and to the collector of metrics, and how it reads the state
 * of a peer.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { request } from 'undici'
import { z } from 'zod'
import type { EventLog } from '../../event/types.js'
import type { FleetState } from '../../fleet/createFleetState/index.js'
import { fleetConfigurationSchema, targetSchema } from '../../fleet/types.js'
import { sendJson } from '../../http/sendJson/index.js'
import { withDeadline } from '../../runtime/withDeadline/index.js'
import type { Runtime } from '../../runtime/types.js'
import type { GatewayMetrics } from '../createGatewayMetrics/index.js'

/** State as a peer sends it. */
const stateSchema = z.object({
  configuration: fleetConfigurationSchema.nullable(),
  revision: z.number(),
  targets: z.array(targetSchema)
})

/** Deadline of reading a peer's state; a megabyte takes about 10 ms. */
const STATE_TIMEOUT_MS = 500

/** Serves `/state` and `/metrics`. */
export function createInternalHandler ({ fleet, metrics }: { fleet: FleetState, metrics: GatewayMetrics }): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
  return async (incoming, response) => {
    if (incoming.url === '/state') {
      const state: z.infer<typeof stateSchema> = { configuration: fleet.configuration() ?? null, revision: fleet.revision(), targets: fleet.targets() }
      sendJson(response, 200, state)
    } else if (incoming.url === '/metrics') {
      const text = await metrics.registry.metrics()
      response.writeHead(200, { 'content-type': metrics.registry.contentType })
      response.end(text)
    } else {
      sendJson(response, 404, {})
    }
  }
}

/** Reads the state of a peer and takes over what is newer. */
export async function readPeerState (address: string, options: { fleet: FleetState, runtime: Runtime, log: EventLog }): Promise<void> {
  const { fleet, runtime, log } = options
  using deadline = withDeadline(STATE_TIMEOUT_MS, { runtime })
  try {
    const response = await request(`http://${address}/state`, { signal: deadline.signal, reset: true })
    const state = stateSchema.parse(await response.body.json())
    if (state.configuration !== null && fleet.applyConfiguration(state.configuration)) {
      log.emit('fleetConfigurationInForce', { version: state.configuration.version, source: address })
    }
    if (state.revision > fleet.revision()) fleet.applySnapshot(state)
    log.emit('peerStateRead', { address, revision: state.revision })
  } catch (error) {
    log.emit('peerUnavailable', { address, cause: error instanceof Error ? error.message : String(error) })
  }
}
