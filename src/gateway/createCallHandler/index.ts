/**
 * Serves callers: finds the route, the client account and the service of each request, reads it
 * whole and hands it on.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ClientAccount, FleetConfiguration, Route, Service } from '../../fleet/types.js'
import { readBody } from '../../http/readBody/index.js'
import type { ReasonName } from '../../verdict/reasons.js'
import { REASONS } from '../../verdict/reasons.js'
import { closing } from '../_lib/answerCaller.js'
import { servePlain } from '../_lib/servePlain.js'
import { serveStream } from '../_lib/serveStream.js'
import { matchRoute } from '../matchRoute/index.js'
import { withDeadline } from '../../runtime/withDeadline/index.js'
import type { Call, CallFacts, GatewayParts } from '../types.js'

/** Wait that callers are told while no configuration is known, in milliseconds. */
const NOT_READY_RETRY_MS = 500

/** Factor between the rank of an account and that of a route: the account's goes first. */
const ACCOUNT_RANK_WEIGHT = 100

interface Accepted {
  route: Route
  service: Service
  account: string | undefined
  rank: number
}

/**
 * @name createCallHandler
 * @summary The handler of callers' requests.
 * @param parts - What serving a call works with.
 * @param options - The host's failure domain, and whether new streams are still taken.
 * @returns A handler that resolves when the call has ended.
 *
 * @example
 * const handler = createCallHandler(parts, { ownDomain: 'north', takesStreams: () => true })
 */
export function createCallHandler (
  parts: GatewayParts,
  options: { ownDomain: string, takesStreams: () => boolean }
): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
  const { fleet, format, runtime, log, metrics, budget } = parts

  function refuse (response: ServerResponse, facts: CallFacts, reason: ReasonName, details: { retryAfterMs?: number, [name: string]: unknown } = {}): void {
    const { status } = REASONS[reason]
    log.emit('gatewayRefused', { request: facts.requestId, reason, status, version: fleet.configuration()?.version, ...details })
    metrics.calls.inc({ kind: 'none', outcome: reason })
    if (response.headersSent || response.destroyed) return
    const headers = format.buildRefusalHeaders({ requestId: facts.requestId, retryAfterMs: details.retryAfterMs })
    response.writeHead(status, closing(parts, [...headers, 'Content-Length', '0']))
    response.end()
  }

  return async (request, response) => {
    const startedMs = runtime.monotonicMs()
    const facts = format.readFacts(request)
    const configuration = fleet.configuration()
    if (configuration === undefined) return refuse(response, facts, 'notReady', { retryAfterMs: NOT_READY_RETRY_MS })
    const accepted = accept(configuration, request, facts, runtime.random())
    if (typeof accepted === 'string') return refuse(response, facts, accepted, { host: request.headers.host, path: request.url })
    const read = await readBody(request, { sizeBytes: configuration.limits.bodyBytes, deadlineMs: Math.min(facts.deadlineMs, accepted.route.timeoutMs), runtime })
    if (read.kind === 'tooLarge') return refuse(response, facts, 'bodyTooLarge')
    if (read.kind === 'tooSlow') return refuse(response, facts, 'senderTooSlow')
    if (read.kind === 'aborted') return
    const { route, service } = accepted
    if (route.kind === 'stream' && !options.takesStreams()) return refuse(response, facts, 'draining', { retryAfterMs: 0 })
    const endMs = startedMs + Math.min(facts.deadlineMs, route.timeoutMs)
    using deadline = withDeadline(endMs - runtime.monotonicMs(), { runtime })
    response.once('close', () => deadline.abort())
    const call: Call = { request, response, body: read.body, facts, ...accepted, startedMs, endMs, signal: deadline.signal }
    budget.countRequest(service.name)
    if (response.destroyed) return
    if (route.kind === 'stream') await serveStream(call, options.ownDomain, parts)
    else await servePlain(call, options.ownDomain, parts)
  }
}

function accept (configuration: FleetConfiguration, request: IncomingMessage, facts: CallFacts, draw: number): Accepted | ReasonName {
  const route = matchRoute(configuration, request.headers.host ?? '', request.url ?? '/')
  if (route === undefined) return 'unknownPath'
  const account = findAccount(configuration, facts.key)
  if (account === undefined && !route.isPublic && configuration.accounts.length > 0) return 'unauthorized'
  const name = drawService(route, draw)
  const service = configuration.services.find(candidate => candidate.name === name)
  if (service === undefined) return 'unknownService'
  return { route, service, account: account?.name, rank: (account?.rank ?? 0) * ACCOUNT_RANK_WEIGHT + route.rank }
}

function findAccount (configuration: FleetConfiguration, key: string | undefined): ClientAccount | undefined {
  return key === undefined ? undefined : configuration.accounts.find(account => account.keys.includes(key))
}

function drawService (route: Route, draw: number): string | undefined {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0)
  let rest = draw * total
  for (const { service, weight } of route.services) {
    rest -= weight
    if (rest < 0) return service
  }
  return route.services.at(-1)?.service
}
