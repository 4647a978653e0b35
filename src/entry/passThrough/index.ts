/**
 * Calls to plain services, passed through. A call with a key is booked; one without is sent
 * once, and again only while it is certain that it did not run.
 */
import { bookOnce } from '../../booking/bookOnce/index.js'
import type { BookOnceOptions, SendPermit } from '../../booking/types.js'
import type { ServiceCall, ServiceResult } from '../../service/types.js'
import type { ServiceScope } from '../../ticket/types.js'
import { classifyServiceResult } from '../../verdict/classifyServiceResult/index.js'
import { createRefusal } from '../../verdict/createRefusal/index.js'
import { refuse } from '../answerCompletion/index.js'
import { readServiceStatus } from '../_lib/readServiceStatus.js'
import { sendToService } from '../_lib/sendToService.js'
import type { CallerCall, EntryContext } from '../types.js'

/** Headers that are handed on to services; the caller's token is not among them. */
const PASSED_HEADERS = ['content-type', 'accept', 'idempotency-key']

/** Methods that services may be sent. */
const PASSED_METHODS = new Set(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])

/** Methods without effect; their keys are not booked. */
const SAFE_METHODS = new Set(['GET', 'HEAD'])

/** When a caller whose service was not reachable should come back. */
const UNREACHABLE_RETRY_MS = 1_000

/** One call on its way to a service. */
interface PassedCall {
  name: string
  service: ServiceScope
  outgoing: ServiceCall
  isRepeatable: boolean
}

/**
 * @name passThrough
 * @summary Serves one call to a plain service.
 * @param call - The call; its path is `/services/<name>/...`.
 * @param context - The entry's parts.
 *
 * @example
 * await passThrough(call, context)
 */
export async function passThrough (call: CallerCall, context: EntryContext): Promise<void> {
  const { daemon } = context
  const url = new URL(call.incoming.url ?? '/', 'http://caller')
  const [, , name = '', ...rest] = url.pathname.split('/')
  const service = daemon.holder.current().services.get(name)
  if (service === undefined) return refuse(createRefusal('unknownService', { facts: { service: name } }), call, context)
  const method = call.incoming.method ?? 'GET'
  if (!PASSED_METHODS.has(method)) return refuse(createRefusal('unknownPath', { facts: { method } }), call, context)
  const path = `/${rest.join('/')}${url.search}`
  const outgoing: ServiceCall = { method, path, headers: passHeaders(call), body: call.body }
  const isRepeatable = findRule(service, method, path)?.repeatable ?? SAFE_METHODS.has(method)
  const passed: PassedCall = { name, service, outgoing, isRepeatable }
  daemon.log.emit('requestAdmitted', { request: call.request, account: call.account.name, service: name })
  const key = call.incoming.headers['idempotency-key']
  if (typeof key === 'string' && !SAFE_METHODS.has(method)) return await answerBooking(key, passed, call, context)
  await answerUnkeyed(passed, call, context)
}

/** A call that may not be repeated is finished even when its caller goes away, so that its outcome is known. */
async function answerUnkeyed (passed: PassedCall, call: CallerCall, context: EntryContext): Promise<void> {
  const { service, outgoing, isRepeatable } = passed
  const result = await sendToService(service, outgoing, context, { isRepeatable, ...(isRepeatable ? { signal: call.signal } : {}) })
  const verdict = classifyServiceResult(result, service)
  if (result.kind === 'answered') return answer(result, passed, call, context)
  const refusal = createRefusal(verdict.kind === 'notRun' ? 'targetUnreachable' : 'targetFailed', {
    verdict,
    facts: { service: passed.name, cause: result.cause, revision: context.daemon.holder.current().head.revision },
    retryAfterMs: UNREACHABLE_RETRY_MS
  })
  refuse(refusal, call, context)
}

async function answerBooking (key: string, passed: PassedCall, call: CallerCall, context: EntryContext): Promise<void> {
  const { name, service, outgoing, isRepeatable } = passed
  const { store, log, runtime } = context.daemon
  const options: BookOnceOptions = {
    store,
    log,
    runtime,
    timeoutMs: service.timeoutMs,
    notRunStatuses: service.notRunStatuses,
    signal: call.signal,
    keep: context.keep,
    send: ({ isOpen }: SendPermit) => sendToService(service, outgoing, context, { isRepeatable, mayStart: isOpen }),
    ...settlement(service, key, context)
  }
  const isFirstAttempt = call.incoming.headers['idempotency-attempt'] === '1'
  const booking = { request: call.request, account: call.account.name, service: name, key, call: outgoing, isFirstAttempt }
  const result = await bookOnce(booking, options)
  if (result.kind === 'answered') return answer(result, passed, call, context)
  const { refusal } = result
  if (refusal.reason === 'bookingStoreUnavailable' && isRepeatable) return await answerUnkeyed(passed, call, context)
  const facts = { service: name, revision: context.daemon.holder.current().head.revision, ...refusal.facts }
  refuse({ ...refusal, facts }, call, context)
}

/** How a booking in doubt is settled, where the service offers status reads. */
function settlement (service: ServiceScope, key: string, context: EntryContext): Pick<BookOnceOptions, 'readStatus' | 'statusSettlesAfterMs'> {
  const { statusPath, statusSettlesAfterMs } = service
  if (statusPath === undefined) return {}
  return {
    readStatus: () => readServiceStatus({ ...service, statusPath }, key, context),
    ...(statusSettlesAfterMs === undefined ? {} : { statusSettlesAfterMs })
  }
}

function answer (
  result: Extract<ServiceResult, { kind: 'answered' }> & { replayed?: boolean },
  { service }: PassedCall,
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

function findRule (service: ServiceScope, method: string, path: string): ServiceScope['calls'][number] | undefined {
  return service.calls.find(rule => rule.method === method && path.startsWith(rule.pathPrefix))
}

function passHeaders (call: CallerCall): Record<string, string> {
  const headers: Record<string, string> = { 'x-request-id': call.request }
  for (const name of PASSED_HEADERS) {
    const value = call.incoming.headers[name]
    if (typeof value === 'string') headers[name] = value
  }
  return headers
}
