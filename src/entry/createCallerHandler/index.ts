/**
 * The caller port: from a raw HTTP request to the handler of its path.
 */
import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { authenticate } from '../../account/authenticate/index.js'
import { readBody } from '../../http/readBody/index.js'
import { createRefusal } from '../../verdict/createRefusal/index.js'
import type { ReasonName } from '../../verdict/reasons.js'
import { answerCompletion, refuse } from '../answerCompletion/index.js'
import { passThrough } from '../passThrough/index.js'
import type { CallerCall, EntryContext } from '../types.js'

/** When a caller that met a host without configuration should come back. */
const NOT_READY_RETRY_MS = 1_000

/**
 * @name createCallerHandler
 * @summary Handler of the caller port.
 * @param context - The entry's parts.
 * @returns A handler for `listen`.
 *
 * @example
 * await using server = await listen(createCallerHandler(context), { address, port })
 */
export function createCallerHandler (context: EntryContext): (incoming: IncomingMessage, response: ServerResponse) => Promise<void> {
  return async (incoming, response) => {
    const request = randomUUID()
    try {
      await handle(request, incoming, response, context)
    } catch (error) {
      const cause = error instanceof Error ? error.message : String(error)
      context.daemon.log.emit('unexpectedError', { request, cause })
      refuse(createRefusal('internalError', { verdict: { kind: 'mayHaveRun' } }), { request, response }, context)
    }
  }
}

async function handle (request: string, incoming: IncomingMessage, response: ServerResponse, context: EntryContext): Promise<void> {
  const { daemon } = context
  const { bodySizeBytes, bodyDeadlineMs } = daemon.settings.limits
  const refuseWith = (reason: ReasonName, retryAfterMs?: number): void => {
    refuse(createRefusal(reason, retryAfterMs === undefined ? {} : { retryAfterMs }), { request, response }, context)
  }
  if (!daemon.holder.isReady()) return refuseWith('notReady', NOT_READY_RETRY_MS)
  const { accounts } = daemon.holder.current()
  const account = authenticate(incoming.headers.authorization, { find: name => accounts.get(name) })
  if (account === undefined) return refuseWith('unauthorized')
  const read = await readBody(incoming, { sizeBytes: bodySizeBytes, deadlineMs: bodyDeadlineMs, runtime: daemon.runtime })
  if (read.kind === 'aborted') return
  if (read.kind !== 'body') {
    response.setHeader('connection', 'close')
    return refuseWith(read.kind === 'tooLarge' ? 'bodyTooLarge' : 'senderTooSlow')
  }
  const controller = new AbortController()
  response.once('close', () => controller.abort())
  const call: CallerCall = { request, account, incoming, response, body: read.body, signal: controller.signal }
  const { pathname } = new URL(incoming.url ?? '/', 'http://caller')
  if (pathname === '/v1/completions' && incoming.method === 'POST') return await answerCompletion(call, context)
  if (pathname.startsWith('/services/')) return await passThrough(call, context)
  refuseWith('unknownPath')
}
