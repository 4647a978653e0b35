/**
 * HTTP handler of the caller port: checks readiness, authenticates the caller, reads the body and
 * calls the handler of the path.
 */
import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { authenticate } from '../../account/authenticate/index.js'
import { checkFreshness } from '../../configuration/checkFreshness/index.js'
import type { Daemon } from '../../daemon/types.js'
import { watchCaller } from '../../http/watchCaller/index.js'
import { readBody } from '../../http/readBody/index.js'
import { parseRequestTarget } from '../../http/parseRequestTarget/index.js'
import { pollInput } from '../../runtime/pollInput/index.js'
import { createRefusal } from '../../verdict/createRefusal/index.js'
import type { ReasonName } from '../../verdict/reasons.js'
import { answerCompletion, refuse } from '../answerCompletion/index.js'
import type { OpenCall, OpenCalls } from '../../http/createOpenCalls/index.js'
import { proxyServiceCall } from '../proxyServiceCall/index.js'
import type { CallerCall, EntryContext } from '../types.js'

/** Retry delay for a caller of a host that has no configuration or a stale one, in milliseconds. */
const NOT_READY_RETRY_MS = 1_000

/** Reasons to refuse a request, by the result of reading its body. */
const BODY_REFUSAL_REASONS = { tooLarge: 'bodyTooLarge', noRoom: 'overloaded', tooSlow: 'senderTooSlow' } as const satisfies Record<string, ReasonName>

/**
 * @name createCallerHandler
 * @summary Creates the HTTP handler of the caller port.
 * @param context - Dependencies of the handlers.
 * @param options - `calls`, in which each call is tracked until it ends.
 * @returns A handler for `listen`.
 *
 * @example
 * await using server = await listen(createCallerHandler(context, { calls }), { address, port })
 */
export function createCallerHandler (
  context: EntryContext,
  options: { calls: OpenCalls }
): (incoming: IncomingMessage, response: ServerResponse) => Promise<void> {
  return async (incoming, response) => {
    const call: OpenCall = { request: randomUUID(), response, mayHaveRun: false }
    response.on('error', () => { if (!response.writableEnded) response.destroy() })
    response.setHeader('x-request-id', call.request)
    if (context.daemon.isDraining()) response.setHeader('connection', 'close')
    const task = serveCall(call, incoming, context)
    options.calls.track(call, task)
    await task
  }
}

/** Handles a call; an unexpected exception is logged and answered with `internalError`. */
async function serveCall (call: OpenCall, incoming: IncomingMessage, context: EntryContext): Promise<void> {
  const { request, response } = call
  try {
    await routeCall(call, incoming, context)
  } catch (error) {
    const cause = error instanceof Error ? error.message : String(error)
    context.daemon.log.emit('unexpectedError', { request, cause })
    const refusal = createRefusal('internalError', call.mayHaveRun ? { verdict: { kind: 'mayHaveRun' } } : {})
    refuse(refusal, call, context)
    if (!response.writableEnded) response.destroy()
  }
}

/** Whether this host's configuration may be outdated because it is cut off from the store and from its peers. */
function isStale ({ holder, table }: Daemon): boolean {
  const facts = { storeAgeMs: holder.storeAgeMs(), revision: holder.current().head.revision, self: table.self(), members: table.all }
  return checkFreshness(facts, { staleAfterMs: holder.current().timeouts.staleAfterMs }).kind === 'stale'
}

/** Checks a call, reads its body and passes it to the handler of its path. */
async function routeCall (openCall: OpenCall, incoming: IncomingMessage, context: EntryContext): Promise<void> {
  const { request, response } = openCall
  const { daemon } = context
  const { bodySizeBytes, bodyDeadlineMs } = daemon.settings.limits
  const refuseWith = (reason: ReasonName, retryAfterMs?: number): void => {
    const revision = daemon.holder.current().head.revision
    refuse(createRefusal(reason, { facts: { revision }, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }), openCall, context)
  }
  const pathname = parseRequestTarget(incoming.url)?.pathname
  if (pathname === undefined) return refuseWith('malformedRequest')
  if (!daemon.holder.isReady()) return refuseWith('notReady', NOT_READY_RETRY_MS)
  if (isStale(daemon)) return refuseWith('staleConfiguration', NOT_READY_RETRY_MS)
  const { accounts } = daemon.holder.current()
  const account = authenticate(incoming.headers.authorization, { find: name => accounts.get(name) })
  if (account === undefined) return refuseWith('unauthorized')
  if (incoming.headers.expect !== undefined && !declaresBodyOver(incoming, bodySizeBytes)) response.writeContinue()
  const bodyResult = await readBody(incoming, { sizeBytes: bodySizeBytes, deadlineMs: bodyDeadlineMs, runtime: daemon.runtime })
  if (bodyResult.kind === 'aborted') return
  if (bodyResult.kind !== 'body') {
    response.setHeader('connection', 'close')
    return refuseWith(BODY_REFUSAL_REASONS[bodyResult.kind])
  }
  const controller = new AbortController()
  watchCaller(response, () => controller.abort())
  // The caller may have left while this process stood still.
  await pollInput()
  if (controller.signal.aborted || response.writableEnded) return
  const call: CallerCall = { request, account, incoming, response, body: bodyResult.body, signal: controller.signal }
  const isCompletion = pathname === '/v1/completions' && incoming.method === 'POST'
  if (!isCompletion && !pathname.startsWith('/services/')) return refuseWith('unknownPath')
  openCall.mayHaveRun = true
  await (isCompletion ? answerCompletion(call, context) : proxyServiceCall(call, context))
}

/** Whether `Content-Length` is over the limit; a caller that waits for `100 Continue` is then not asked for the body. */
function declaresBodyOver (incoming: IncomingMessage, sizeBytes: number): boolean {
  return Number(incoming.headers['content-length'] ?? 0) > sizeBytes
}
