/**
 * Calls to plain services, passed through. A call with a key is booked; one without is sent
 * once, and again only while it is certain that it did not run.
 */
import { bookOnce } from '../../booking/bookOnce/index.js'
import type { ServiceCall, ServiceResult } from '../../service/types.js'
import type { ServiceScope } from '../../ticket/types.js'
import { createRefusal, NEVER_SENT } from '../../verdict/createRefusal/index.js'
import { refuse } from '../answerCompletion/index.js'
import type { CallerCall, EntryContext } from '../types.js'

/** Headers that are handed on to services; the caller's token is not among them. */
const PASSED_HEADERS = ['content-type', 'accept', 'idempotency-key']

/** When a caller whose service was not reachable should come back. */
const UNREACHABLE_RETRY_MS = 1_000

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
  const path = `/${rest.join('/')}${url.search}`
  const outgoing: ServiceCall = { method, path, headers: passHeaders(call), body: call.body }
  const isRepeatable = findRule(service, method, path)?.repeatable ?? (method === 'GET' || method === 'HEAD')
  const send = (): Promise<ServiceResult> => sendToService(service, outgoing, isRepeatable, call, context)
  const key = call.incoming.headers['idempotency-key']
  if (typeof key === 'string' && !isRepeatable) return await answerBooking(name, key, outgoing, send, call, context)
  daemon.log.emit('requestAdmitted', { request: call.request, account: call.account.name, service: name })
  const result = await send()
  if (result.kind === 'answered') return answer(result, call, context)
  const reached = result.kind === 'lost'
  const refusal = createRefusal(reached ? 'targetFailed' : 'targetUnreachable', {
    verdict: reached ? { kind: 'mayHaveRun' } : NEVER_SENT,
    facts: { service: name, cause: result.cause },
    retryAfterMs: UNREACHABLE_RETRY_MS
  })
  refuse(refusal, call, context)
}

async function answerBooking (
  service: string,
  key: string,
  outgoing: ServiceCall,
  send: () => Promise<ServiceResult>,
  call: CallerCall,
  context: EntryContext
): Promise<void> {
  const { store, log } = context.daemon
  log.emit('requestAdmitted', { request: call.request, account: call.account.name, service })
  const booking = { request: call.request, account: call.account.name, service, key, call: outgoing }
  const result = await bookOnce(booking, { store, log, send })
  if (result.kind === 'refused') return refuse(result.refusal, call, context)
  answer(result, call, context)
}

/** Tries targets in turn as long as a call is repeatable or certainly did not run. */
async function sendToService (
  service: ServiceScope,
  outgoing: ServiceCall,
  isRepeatable: boolean,
  call: CallerCall,
  { daemon, services }: EntryContext
): Promise<ServiceResult> {
  const usable = service.targets.filter(target => daemon.directory.condition(target) === 'usable')
  let result: ServiceResult = { kind: 'unreachable', cause: 'no usable target' }
  for (const target of usable) {
    const address = daemon.directory.address(target)
    if (address === undefined) continue
    result = await services.send(address, outgoing, { timeoutMs: service.timeoutMs, signal: call.signal })
    if (result.kind === 'answered') return result
    daemon.directory.noteSuspected(target)
    if (result.kind === 'lost' && !isRepeatable) return result
  }
  return result
}

function answer (result: { status: number, contentType: string, body: string, replayed?: boolean }, call: CallerCall, { daemon }: EntryContext): void {
  daemon.metrics.requests.inc({ outcome: 'complete' })
  daemon.log.emit('requestAnswered', { request: call.request, status: result.status })
  const replayed = result.replayed ? { 'idempotency-replayed': 'true' } : {}
  call.response.writeHead(result.status, { 'content-type': result.contentType, 'x-request-id': call.request, 'x-verdict': 'ran', ...replayed })
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
