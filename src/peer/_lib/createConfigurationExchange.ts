/**
 * Fetches configurations from peers and serves them to peers. A response holds the head and the
 * values that the requesting daemon lacks. A daemon has at most one request open over all peers.
 */
import { create } from '@bufbuild/protobuf'
import { buildConfiguration } from '../../configuration/buildConfiguration/index.js'
import type { ConfigurationHolder } from '../../configuration/types.js'
import type { EventLog } from '../../event/types.js'
import type { Runtime } from '../../runtime/types.js'
import { headSchema } from '../../ticket/types.js'
import { ConfigurationRequestSchema, ConfigurationResponseSchema, type ConfigurationRequest, type ConfigurationResponse } from '../gen/peer_pb.js'

/** How long a ready daemon waits for its store watch to deliver a newer revision before it asks a peer. */
const STORE_GRACE_MS = 250

/** How long to wait for a peer's response before another peer is asked. */
const RESPONSE_TIMEOUT_MS = 2_000

/** Requests, serves and receives configurations for one daemon, on all its streams. */
export interface ConfigurationExchange {
  /** Notes the head revision that a peer reported; returns the request to send to that peer, if one is due. */
  requestIfBehind: (revision: number) => ConfigurationRequest | undefined
  /** The response to a peer's request; undefined if this daemon has no newer configuration. */
  answer: (request: ConfigurationRequest) => ConfigurationResponse | undefined
  /** Puts the configuration of a response into force if it is newer; logs one that is invalid. */
  receive: (response: ConfigurationResponse) => void
}

/** An exchange that has seen no peer yet. */
export function createConfigurationExchange (options: { holder: ConfigurationHolder, runtime: Runtime, log: EventLog }): ConfigurationExchange {
  const { holder, runtime, log } = options
  /** Highest head revision that a peer reported. */
  let newestRevision = 0
  /** Monotonic time at which a peer first reported a newer revision; reset once this daemon is up to date or a response was read. */
  let behindSinceMs: number | undefined
  /** Monotonic time of the last request. */
  let requestedAtMs = -Infinity

  /**
   * Builds the configuration of a response from its values and, for scopes with an unchanged ticket,
   * from the configuration in force. Throws if the value of a scope is in neither.
   */
  function readResponse (response: ConfigurationResponse): ReturnType<typeof buildConfiguration> {
    const inForce = holder.current()
    const head = headSchema.parse(JSON.parse(response.headJson))
    const values = Object.entries(head.scopes).map(([scope, ticket]): [string, unknown] => {
      const json = response.scopeJson[scope]
      if (json !== undefined) return [scope, JSON.parse(json)]
      if (inForce.head.scopes[scope] !== ticket) throw new Error(`the response lacks the value of scope ${scope} at ticket ${ticket}`)
      return [scope, inForce.values.get(scope)]
    })
    return buildConfiguration(head, new Map(values))
  }

  return {
    requestIfBehind (revision) {
      const { head } = holder.current()
      const nowMs = runtime.monotonicMs()
      newestRevision = Math.max(newestRevision, revision)
      if (newestRevision <= head.revision) behindSinceMs = undefined
      if (revision <= head.revision) return undefined
      behindSinceMs ??= nowMs
      const isWaitingForStore = holder.isReady() && nowMs - behindSinceMs < STORE_GRACE_MS
      if (isWaitingForStore || nowMs - requestedAtMs < RESPONSE_TIMEOUT_MS) return undefined
      requestedAtMs = nowMs
      const knownTickets = Object.fromEntries(Object.entries(head.scopes).map(([scope, ticket]) => [scope, BigInt(ticket)]))
      return create(ConfigurationRequestSchema, { aboveRevision: BigInt(head.revision), knownTickets })
    },
    answer (request) {
      const { head, values } = holder.current()
      if (head.revision <= Number(request.aboveRevision)) return undefined
      const missingValues = [...values].filter(([scope]) => Number(request.knownTickets[scope] ?? 0n) !== head.scopes[scope])
      const scopeJson = Object.fromEntries(missingValues.map(([scope, value]) => [scope, JSON.stringify(value)]))
      return create(ConfigurationResponseSchema, { revision: BigInt(head.revision), headJson: JSON.stringify(head), scopeJson })
    },
    receive (response) {
      try {
        const previousRevision = holder.current().head.revision
        const configuration = readResponse(response)
        holder.applyIfNewer(configuration, 'peer')
        if (configuration.head.revision > previousRevision) requestedAtMs = -Infinity
        behindSinceMs = undefined
      } catch (error) {
        log.emit('configurationInvalid', { cause: (error as Error).message, source: 'peer' })
      }
    }
  }
}
