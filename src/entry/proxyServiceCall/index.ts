/**
 * Forwards calls to plain services. A call with an idempotency key becomes a booking, except for GET
 * and HEAD. Any other call is sent again only if it certainly did not run, or if it may be repeated.
 */
import { bookOnce } from '../../booking/bookOnce/index.js'
import type { BookOnceOptions, SendWindow } from '../../booking/types.js'
import type { ServiceCall, ServiceResult } from '../../service/types.js'
import type { ServiceScope } from '../../ticket/types.js'
import { classifyServiceResult } from '../../verdict/classifyServiceResult/index.js'
import { createRefusal } from '../../verdict/createRefusal/index.js'
import { refuse } from '../answerCompletion/index.js'
import { readServiceStatus } from '../_lib/readServiceStatus.js'
import { sendToService } from '../_lib/sendToService.js'
import type { CallerCall, EntryContext } from '../types.js'

/** Request headers that are forwarded to services. The caller's bearer token must not be. */
const FORWARDED_HEADERS = ['content-type', 'accept', 'idempotency-key']

/** Methods that are forwarded to services. */
const FORWARDED_METHODS = new Set(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])

/** Safe methods in the sense of HTTP; their idempotency keys make no booking. */
const SAFE_METHODS = new Set(['GET', 'HEAD'])

/** Retry delay for a caller whose service was unreachable or failed, in milliseconds. */
const SERVICE_RETRY_MS = 1_000

/** A call and the service that it is forwarded to. */
interface ProxiedCall {
  /** Name of the service. */
  name: string
  service: ServiceScope
  /** The call as it is sent to the service. */
  outgoing: ServiceCall
  isRepeatable: boolean
}

/**
 * @name proxyServiceCall
 * @summary Forwards one call to a plain service and writes its response.
 * @param call - The call; its path is `/services/<name>/...`.
 * @param context - Dependencies of the handlers.
 *
 * @example
 * await proxyServiceCall(call, context)
 */
export async function proxyServiceCall (call: CallerCall, context: EntryContext): Promise<void> {
  const { daemon } = context
  const url = new URL(call.incoming.url ?? '/', 'http://caller')
  const [, , name = '', ...rest] = url.pathname.split('/')
  const service = daemon.holder.current().services.get(name)
  if (service === undefined) return refuse(createRefusal('unknownService', { facts: { service: name } }), call, context)
  const method = call.incoming.method ?? 'GET'
  if (!FORWARDED_METHODS.has(method)) return refuse(createRefusal('unknownPath', { facts: { method } }), call, context)
  const path = `/${rest.join('/')}${url.search}`
  const outgoing: ServiceCall = { method, path, headers: forwardedHeaders(call), body: call.body }
  const isRepeatable = findCallRule(service, method, path)?.repeatable ?? SAFE_METHODS.has(method)
  const proxiedCall: ProxiedCall = { name, service, outgoing, isRepeatable }
  daemon.log.emit('requestAdmitted', { request: call.request, account: call.account.name, service: name })
  const key = call.incoming.headers['idempotency-key']
  if (typeof key === 'string' && !SAFE_METHODS.has(method)) return await answerKeyedCall(key, proxiedCall, call, context)
  await answerUnkeyedCall(proxiedCall, call, context)
}

/**
 * Answers a call that makes no booking. One that may not be repeated is completed even when its
 * caller disconnects, so that its outcome is known.
 */
async function answerUnkeyedCall (proxiedCall: ProxiedCall, call: CallerCall, context: EntryContext): Promise<void> {
  const { service, outgoing, isRepeatable } = proxiedCall
  const result = await sendToService(service, outgoing, context, { isRepeatable, ...(isRepeatable ? { signal: call.signal } : {}) })
  const verdict = classifyServiceResult(result, service)
  if (result.kind === 'answered') return sendServiceResponse(result, proxiedCall, call, context)
  const refusal = createRefusal(verdict.kind === 'notRun' ? 'targetUnreachable' : 'targetFailed', {
    verdict,
    facts: { service: proxiedCall.name, cause: result.cause, revision: context.daemon.holder.current().head.revision },
    retryAfterMs: SERVICE_RETRY_MS
  })
  refuse(refusal, call, context)
}

/** Answers a call with an idempotency key. While the store is unavailable, a repeatable call is sent without a booking. */
async function answerKeyedCall (key: string, proxiedCall: ProxiedCall, call: CallerCall, context: EntryContext): Promise<void> {
  const { name, service, outgoing, isRepeatable } = proxiedCall
  const { store, log, runtime } = context.daemon
  const options: BookOnceOptions = {
    store,
    log,
    runtime,
    timeoutMs: service.timeoutMs,
    notRunStatuses: service.notRunStatuses,
    signal: call.signal,
    keep: context.keep,
    send: ({ isOpen }: SendWindow) => sendToService(service, outgoing, context, { isRepeatable, mayStart: isOpen }),
    ...statusReadOptions(service, key, context)
  }
  const isFirstAttempt = call.incoming.headers['idempotency-attempt'] === '1'
  const booking = { request: call.request, account: call.account.name, service: name, key, call: outgoing, isFirstAttempt }
  const result = await bookOnce(booking, options)
  if (result.kind === 'answered') return sendServiceResponse(result, proxiedCall, call, context)
  const { refusal } = result
  if (refusal.reason === 'bookingStoreUnavailable' && isRepeatable) return await answerUnkeyedCall(proxiedCall, call, context)
  const facts = { service: name, revision: context.daemon.holder.current().head.revision, ...refusal.facts }
  refuse({ ...refusal, facts }, call, context)
}

/** Options to settle a booking in doubt by reading its status; empty if the service has no status path. */
function statusReadOptions (service: ServiceScope, key: string, context: EntryContext): Pick<BookOnceOptions, 'readStatus' | 'statusSettlesAfterMs'> {
  const { statusPath, statusSettlesAfterMs } = service
  if (statusPath === undefined) return {}
  return {
    readStatus: () => readServiceStatus({ ...service, statusPath }, key, context),
    ...(statusSettlesAfterMs === undefined ? {} : { statusSettlesAfterMs })
  }
}

/** Sends the service's response to the caller. */
function sendServiceResponse (
  result: Extract<ServiceResult, { kind: 'answered' }> & { replayed?: boolean },
  { service }: ProxiedCall,
  call: CallerCall,
  { daemon }: EntryContext
): void {
  const verdict = classifyServiceResult(result, service).kind
  daemon.metrics.requests.inc({ outcome: 'complete' })
  daemon.log.emit('requestAnswered', { request: call.request, status: result.status, verdict })
  if (call.response.headersSent || call.response.destroyed) return
  const replayed = result.replayed ? { 'idempotency-replayed': 'true' } : {}
  call.response.writeHead(result.status, { 'content-type': result.contentType, 'x-request-id': call.request, 'x-verdict': verdict, ...replayed })
  call.response.end(result.body)
}

function findCallRule (service: ServiceScope, method: string, path: string): ServiceScope['calls'][number] | undefined {
  return service.calls.find(rule => rule.method === method && path.startsWith(rule.pathPrefix))
}

function forwardedHeaders (call: CallerCall): Record<string, string> {
  const headers: Record<string, string> = { 'x-request-id': call.request }
  for (const name of FORWARDED_HEADERS) {
    const value = call.incoming.headers[name]
    if (typeof value === 'string') headers[name] = value
  }
  return headers
}
