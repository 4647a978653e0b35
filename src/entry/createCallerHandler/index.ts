/**
 * The caller port: from a raw HTTP request to the handler of its path.
 */
import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { authenticate } from '../../account/authenticate/index.js'
import { checkFreshness } from '../../configuration/checkFreshness/index.js'
import type { Daemon } from '../../daemon/types.js'
import { readBody } from '../../http/readBody/index.js'
import { readTarget } from '../../http/readTarget/index.js'
import { createRefusal } from '../../verdict/createRefusal/index.js'
import type { ReasonName } from '../../verdict/reasons.js'
import { answerCompletion, refuse } from '../answerCompletion/index.js'
import type { OpenCall, OpenCalls } from '../../http/createOpenCalls/index.js'
import { passThrough } from '../passThrough/index.js'
import type { CallerCall, EntryContext } from '../types.js'

/** When a caller that met a host without configuration should come back. */
const NOT_READY_RETRY_MS = 1_000

/** Refusals of a body by what reading it came to. */
const BODY_REASONS = { tooLarge: 'bodyTooLarge', tooSlow: 'senderTooSlow' } as const satisfies Record<string, ReasonName>

/**
 * @name createCallerHandler
 * @summary Handler of the caller port.
 * @param context - The entry's parts.
 * @param options - `calls`, where each call is held open.
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
    const call: OpenCall = { request: randomUUID(), response, isAdmitted: false }
    response.on('error', () => { if (!response.writableEnded) response.destroy() })
    response.setHeader('x-request-id', call.request)
    if (context.daemon.isDraining()) response.setHeader('connection', 'close')
    const task = serve(call, incoming, context)
    options.calls.track(call, task)
    await task
  }
}

async function serve (call: OpenCall, incoming: IncomingMessage, context: EntryContext): Promise<void> {
  const { request, response } = call
  try {
    await handle(call, incoming, context)
  } catch (error) {
    const cause = error instanceof Error ? error.message : String(error)
    context.daemon.log.emit('unexpectedError', { request, cause })
    const refusal = createRefusal('internalError', call.isAdmitted ? { verdict: { kind: 'mayHaveRun' } } : {})
    refuse(refusal, call, context)
    if (!response.writableEnded) response.destroy()
  }
}

/** Whether this host is cut off from the store and from its peers for too long. */
function isStale ({ holder, table }: Daemon): boolean {
  const facts = { storeAgeMs: holder.storeAgeMs(), revision: holder.current().head.revision, self: table.self(), members: table.all }
  return checkFreshness(facts, { staleAfterMs: holder.current().timeouts.staleAfterMs }).kind === 'stale'
}

async function handle (open: OpenCall, incoming: IncomingMessage, context: EntryContext): Promise<void> {
  const { request, response } = open
  const { daemon } = context
  const { bodySizeBytes, bodyDeadlineMs } = daemon.settings.limits
  const refuseWith = (reason: ReasonName, retryAfterMs?: number): void => {
    const revision = daemon.holder.current().head.revision
    refuse(createRefusal(reason, { facts: { revision }, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }), open, context)
  }
  const pathname = readTarget(incoming.url)?.pathname
  if (pathname === undefined) return refuseWith('malformedRequest')
  if (!daemon.holder.isReady()) return refuseWith('notReady', NOT_READY_RETRY_MS)
  if (isStale(daemon)) return refuseWith('staleConfiguration', NOT_READY_RETRY_MS)
  const { accounts } = daemon.holder.current()
  const account = authenticate(incoming.headers.authorization, { find: name => accounts.get(name) })
  if (account === undefined) return refuseWith('unauthorized')
  if (incoming.headers.expect !== undefined && !isOverLimit(incoming, bodySizeBytes)) response.writeContinue()
  const read = await readBody(incoming, { sizeBytes: bodySizeBytes, deadlineMs: bodyDeadlineMs, runtime: daemon.runtime })
  if (read.kind === 'aborted') return
  if (read.kind !== 'body') {
    response.setHeader('connection', 'close')
    return refuseWith(BODY_REASONS[read.kind])
  }
  const controller = new AbortController()
  response.once('close', () => controller.abort())
  if (response.writableEnded || response.destroyed) return
  const call: CallerCall = { request, account, incoming, response, body: read.body, signal: controller.signal }
  const isCompletion = pathname === '/v1/completions' && incoming.method === 'POST'
  if (!isCompletion && !pathname.startsWith('/services/')) return refuseWith('unknownPath')
  open.isAdmitted = true
  await (isCompletion ? answerCompletion(call, context) : passThrough(call, context))
}

/** Whether a body announces itself as too large, so that the caller is not asked to send it. */
function isOverLimit (incoming: IncomingMessage, sizeBytes: number): boolean {
  return Number(incoming.headers['content-length'] ?? 0) > sizeBytes
}
