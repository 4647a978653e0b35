/**
 * Configurations by way of peers: the head and those values that the asking daemon lacks, one
 * request at a time over all peers.
 */
import { create } from '@bufbuild/protobuf'
import { buildConfiguration } from '../../configuration/buildConfiguration/index.js'
import type { ConfigurationHolder } from '../../configuration/types.js'
import type { EventLog } from '../../event/types.js'
import type { Runtime } from '../../runtime/types.js'
import { headSchema } from '../../ticket/types.js'
import { ConfigurationRequestSchema, ConfigurationResponseSchema, type ConfigurationRequest, type ConfigurationResponse } from '../gen/peer_pb.js'

/** Time that the store's own watch has before a peer is asked. */
const STORE_FIRST_MS = 250

/** Wait for a peer's answer before another peer is asked. */
const ANSWER_WITHIN_MS = 2_000

/** A daemon's part in passing configurations on. */
export interface ConfigurationExchange {
  /** A request for the peer that showed this head revision, when it is time for one. */
  noteRevision: (revision: number) => ConfigurationRequest | undefined
  answer: (request: ConfigurationRequest) => ConfigurationResponse | undefined
  receive: (response: ConfigurationResponse) => void
}

/** The exchange of one daemon. */
export function createConfigurationExchange (options: { holder: ConfigurationHolder, runtime: Runtime, log: EventLog }): ConfigurationExchange {
  const { holder, runtime, log } = options
  let newestRevision = 0
  let behindSinceMs: number | undefined
  let askedMs = -Infinity

  /** Values of the response and those already here, for every scope of its head. */
  function readResponse (response: ConfigurationResponse): ReturnType<typeof buildConfiguration> {
    const known = holder.current()
    const head = headSchema.parse(JSON.parse(response.headJson))
    const values = Object.entries(head.scopes).map(([scope, ticket]): [string, unknown] => {
      const json = response.scopeJson[scope]
      if (json !== undefined) return [scope, JSON.parse(json)]
      if (known.head.scopes[scope] !== ticket) throw new Error(`the value of ${scope} at ticket ${ticket} is missing`)
      return [scope, known.values.get(scope)]
    })
    return buildConfiguration(head, new Map(values))
  }

  return {
    noteRevision (revision) {
      const { head } = holder.current()
      const nowMs = runtime.monotonicMs()
      newestRevision = Math.max(newestRevision, revision)
      if (newestRevision <= head.revision) behindSinceMs = undefined
      if (revision <= head.revision) return undefined
      behindSinceMs ??= nowMs
      const patient = holder.isReady() && nowMs - behindSinceMs < STORE_FIRST_MS
      if (patient || nowMs - askedMs < ANSWER_WITHIN_MS) return undefined
      askedMs = nowMs
      const knownTickets = Object.fromEntries(Object.entries(head.scopes).map(([scope, ticket]) => [scope, BigInt(ticket)]))
      return create(ConfigurationRequestSchema, { aboveRevision: BigInt(head.revision), knownTickets })
    },
    answer (request) {
      const { head, values } = holder.current()
      if (head.revision <= Number(request.aboveRevision)) return undefined
      const lacking = [...values].filter(([scope]) => Number(request.knownTickets[scope] ?? 0n) !== head.scopes[scope])
      const scopeJson = Object.fromEntries(lacking.map(([scope, value]) => [scope, JSON.stringify(value)]))
      return create(ConfigurationResponseSchema, { revision: BigInt(head.revision), headJson: JSON.stringify(head), scopeJson })
    },
    receive (response) {
      try {
        const before = holder.current().head.revision
        const configuration = readResponse(response)
        holder.applyIfNewer(configuration, 'peer')
        if (configuration.head.revision > before) askedMs = -Infinity
        behindSinceMs = undefined
      } catch (error) {
        log.emit('configurationInvalid', { cause: (error as Error).message, source: 'peer' })
      }
    }
  }
}
