/**
 * Entry point for callers: resolves the route, the client account and the service of each
 * request, reads its body and dispatches it by the kind of its route.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { fingerprintRequest } from '../../crash/fingerprintRequest/index.js'
import type { ClientAccount, FleetConfiguration, Route, Service } from '../../fleet/types.js'
import { watchCaller } from '../../http/watchCaller/index.js'
import { drainBody } from '../../http/drainBody/index.js'
import { readBody } from '../../http/readBody/index.js'
import type { ReasonName } from '../../verdict/reasons.js'
import { REASONS } from '../../verdict/reasons.js'
import { withConnectionClose } from '../_lib/answerCaller.js'
import { servePlain } from '../_lib/servePlain.js'
import { combineRanks } from '../_lib/combineRanks.js'
import { serveStream } from '../_lib/serveStream.js'
import { matchRoute } from '../matchRoute/index.js'
import { withDeadline } from '../../runtime/withDeadline/index.js'
import type { Call, CallFacts, GatewayContext, OpenRequest } from '../types.js'

/** Retry delay sent to callers whose body finds no memory, in milliseconds; requests with large bodies take some time. */
const NO_ROOM_RETRY_MS = 1_000

/** Retry delay sent to callers while no configuration is known, in milliseconds. */
const NOT_READY_RETRY_MS = 500

interface ResolvedCall {
  route: Route
  service: Service
  account: string | undefined
  rank: number
}

/**
 * @name createCallHandler
 * @summary Creates the handler of callers' requests.
 * @param context - State and dependencies shared by all calls.
 * @param options - The host's failure domain, whether calls are still accepted, and a signal that aborts with a `DeadlineError` when every open call must end.
 * @returns A handler that resolves when the call has ended; it enters the request's id and call in `open`, if given.
 *
 * @example
 * const handler = createCallHandler(context, { ownDomain: 'north', isAccepting: () => true, endSignal })
 */
export function createCallHandler (
  context: GatewayContext,
  options: { ownDomain: string, isAccepting: () => boolean, endSignal: AbortSignal }
): (request: IncomingMessage, response: ServerResponse, open?: OpenRequest) => Promise<void> {
  const { fleet, format, runtime, log, metrics, budget } = context
  const { endSignal } = options

  /** Refuses a call whose body was not read. */
  function refuseEarly (request: IncomingMessage, ...refusal: Parameters<typeof refuse>): void {
    refuse(...refusal)
    drainBody(request, { runtime })
  }

  function refuse (response: ServerResponse, facts: CallFacts, reason: ReasonName, details: { retryAfterMs?: number, [name: string]: unknown } = {}): void {
    const { status } = REASONS[reason]
    if (!response.headersSent && !response.destroyed) {
      const headers = format.buildRefusalHeaders({ requestId: facts.requestId, retryAfterMs: details.retryAfterMs })
      response.writeHead(status, withConnectionClose(context, [...headers, 'Content-Length', '0']))
      response.end()
    }
    log.emit('gatewayRefused', { request: facts.requestId, reason, status, version: fleet.configuration()?.version, ...details })
    metrics.calls.inc({ kind: 'none', outcome: reason })
  }

  return async (request, response, open) => {
    const startedMs = runtime.monotonicMs()
    const facts = format.readFacts(request)
    if (open !== undefined) open.request = facts.requestId
    const configuration = fleet.configuration()
    if (configuration === undefined) return refuseEarly(request, response, facts, 'notReady', { retryAfterMs: NOT_READY_RETRY_MS })
    const resolved = resolveCall(configuration, request, facts, runtime.random())
    if (typeof resolved === 'string') return refuseEarly(request, response, facts, resolved, { host: request.headers.host, path: request.url })
    using held = context.requestBytes.claim()
    const read = await readBody(request, { tryGrow: held.tryGrow, sizeBytes: configuration.limits.bodyBytes, deadlineMs: Math.min(facts.deadlineMs, resolved.route.timeoutMs), runtime, signal: endSignal })
    if (read.kind === 'tooLarge') return refuse(response, facts, 'bodyTooLarge')
    if (read.kind === 'noRoom') return refuse(response, facts, 'overloaded', { retryAfterMs: NO_ROOM_RETRY_MS, cause: 'no memory for the body' })
    if (read.kind === 'tooSlow') return refuse(response, facts, 'senderTooSlow')
    if (read.kind === 'aborted' && !endSignal.aborted) return
    if (read.kind === 'aborted' || !options.isAccepting()) return refuse(response, facts, 'draining', { retryAfterMs: 0 })
    const { route, service } = resolved
    const endMs = startedMs + Math.min(facts.deadlineMs, route.timeoutMs)
    using deadline = withDeadline(endMs - runtime.monotonicMs(), { runtime, parent: endSignal })
    const fingerprint = fingerprintRequest({ method: request.method ?? 'GET', host: request.headers.host ?? '', path: request.url ?? '/', account: resolved.account, promptParts: facts.promptParts, body: read.body })
    const call: Call = { request, response, body: read.body, facts, ...resolved, fingerprint, startedMs, deadlineAtMs: endMs, signal: deadline.signal, progress: { tries: 0, lastEventId: facts.lastEventId } }
    watchCaller(response, () => {
      call.callerLeftAtMs = runtime.monotonicMs()
      deadline.abort()
    })
    if (open !== undefined) open.call = call
    budget.countRequest(service.name)
    if (route.kind === 'stream') await serveStream(call, options.ownDomain, context)
    else await servePlain(call, options.ownDomain, context)
  }
}

function resolveCall (configuration: FleetConfiguration, request: IncomingMessage, facts: CallFacts, randomFraction: number): ResolvedCall | ReasonName {
  const route = matchRoute(configuration, request.headers.host ?? '', request.url ?? '/')
  if (route === undefined) return 'unknownPath'
  const account = findAccount(configuration, facts.key)
  if (account === undefined && !route.isPublic && configuration.accounts.length > 0) return 'unauthorized'
  const name = pickService(route, randomFraction)
  const service = configuration.services.find(candidate => candidate.name === name)
  if (service === undefined) return 'unknownService'
  return { route, service, account: account?.name, rank: combineRanks(account?.rank, route.rank) }
}

function findAccount (configuration: FleetConfiguration, key: string | undefined): ClientAccount | undefined {
  return key === undefined ? undefined : configuration.accounts.find(account => account.keys.includes(key))
}

function pickService (route: Route, randomFraction: number): string | undefined {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = randomFraction * total
  for (const { service, weight } of route.services) {
    remaining -= weight
    if (remaining < 0) return service
  }
  return route.services.at(-1)?.service
}
