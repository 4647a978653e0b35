/**
 * Handler of `POST /v1/completions`, which answers with server-sent events or one JSON body.
 */
import { sendRefusal } from '../../http/sendJson/index.js'
import { runPipeline } from '../../pipeline/runPipeline/index.js'
import type { AnswerRequest, AnswerResult } from '../../pipeline/types.js'
import { createRefusal, NEVER_SENT } from '../../verdict/createRefusal/index.js'
import type { Refusal } from '../../verdict/types.js'
import { createEventStreamWriter, createJsonWriter, type AnswerWriter } from '../_lib/answerWriter.js'
import { takeOverAnswer } from '../_lib/takeOverAnswer.js'
import { parseCompletion, countPromptTokens } from '../parseCompletion/index.js'
import type { CallerCall, EntryContext } from '../types.js'

/**
 * @name answerCompletion
 * @summary Handles one completions request and writes its response.
 * @param received - The call; if it takes over an answer, it goes on under the request ID of that answer.
 * @param context - Dependencies of the handlers.
 *
 * @example
 * await answerCompletion(call, context)
 */
export async function answerCompletion (received: CallerCall, context: EntryContext): Promise<void> {
  const { daemon } = context
  let call = received
  const { limits } = daemon.settings
  const parsed = parseCompletion(call.body)
  if (parsed.kind === 'invalid') return refuse(createRefusal('malformedRequest', { facts: { faults: parsed.faults } }), call, context)
  const body = { ...parsed.body, max_tokens: Math.min(parsed.body.max_tokens, limits.answerTokens) }
  const promptTokens = countPromptTokens(body.prompt)
  if (promptTokens > limits.promptTokens) {
    return refuse(createRefusal('promptTooLong', { facts: { promptTokens, limit: limits.promptTokens } }), call, context)
  }
  const configuration = daemon.holder.current()
  const model = configuration.models.get(body.model)
  if (model === undefined) return refuse(createRefusal('unknownModel', { facts: { model: body.model } }), call, context)

  let request: AnswerRequest = {
    request: call.request,
    account: call.account.name,
    model: body.model,
    prompt: body.prompt,
    maxTokens: body.max_tokens,
    priority: call.account.priority,
    deadlineMs: body.deadline_ms ?? model.deadlines.answerMs,
    given: [],
    earlierAttempt: 0
  }
  const lastEventId = call.incoming.headers['last-event-id']
  if (lastEventId !== undefined) {
    const takeOver = await takeOverAnswer(String(lastEventId), { body, model, request, context })
    if (takeOver.kind === 'refused') return refuse(takeOver.refusal, call, context)
    request = takeOver.request
    call = { ...call, request: request.request }
  }
  setRequestIdHeader(call)
  const startedMs = daemon.runtime.monotonicMs()
  const admitted = await context.admission.admit({ account: call.account, model: request.model, tokens: request.maxTokens, deadlineMs: request.deadlineMs, signal: call.signal })
  if (admitted.kind === 'refused') {
    const { reason, facts, retryAfterMs } = admitted
    const { revision } = configuration.head
    const verdict = request.earlierAttempt > 0 ? { kind: 'mayHaveRun' } as const : NEVER_SENT
    return refuse(createRefusal(reason, { verdict, facts: { ...facts, revision }, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }), call, context)
  }
  using route = admitted.route
  request.deadlineMs = Math.max(1, request.deadlineMs - admitted.waitedMs)
  daemon.log.emit('requestAdmitted', { request: call.request, account: call.account.name, model: body.model })
  const writer = body.stream ? createEventStreamWriter(call, body, context) : createJsonWriter(call, body)
  let isFirstToken = true
  const result = await runPipeline(request, {
    configuration: daemon.holder.current,
    engines: context.engines,
    directory: daemon.directory,
    pick: route.pick,
    linkFaults: context.linkFaults,
    runtime: daemon.runtime,
    log: daemon.log,
    signal: call.signal,
    isHandedOver: daemon.isDraining,
    onChain: writer.onChain,
    onToken (frame) {
      if (isFirstToken) reportFirstToken(call, context, daemon.runtime.monotonicMs() - startedMs)
      isFirstToken = false
      daemon.metrics.tokens.inc()
      route.recordToken()
      writer.onToken(frame)
    }
  })
  endAnswer(result, writer, call, context)
}

/** Sets the header that tells the caller the ID of its request. */
function setRequestIdHeader ({ response, request }: Pick<CallerCall, 'request' | 'response'>): void {
  if (!response.headersSent) response.setHeader('x-request-id', request)
}

/** Records the time to the first token. */
function reportFirstToken (call: CallerCall, { daemon }: EntryContext, afterMs: number): void {
  daemon.metrics.firstTokenMs.observe(afterMs)
  daemon.log.emit('firstToken', { request: call.request, afterMs: Math.round(afterMs) })
}

/** Ends the response with the result of the answer, and records it. */
function endAnswer (result: AnswerResult, writer: AnswerWriter, call: CallerCall, { daemon }: EntryContext): void {
  if (result.kind === 'complete') {
    writer.complete(result.tokens)
    daemon.metrics.requests.inc({ outcome: 'complete' })
    daemon.log.emit('requestAnswered', { request: call.request, tokens: result.tokens, attempts: result.attempts })
    return
  }
  const { reason, verdict, tokens, facts, retryAfterMs } = result
  const revision = daemon.holder.current().head.revision
  const refusal = daemon.refusals.add(
    createRefusal(reason, { verdict, facts: { ...facts, tokens, revision }, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }),
    { request: call.request, account: call.account.name }
  )
  daemon.metrics.requests.inc({ outcome: reason })
  daemon.log.emit('requestFailed', { request: call.request, refusal: refusal.id, reason, verdict: verdict.kind, tokens })
  writer.fail(refusal)
}

/** Records and logs a refusal, and sends it unless a response has already begun. */
export function refuse (refusal: Refusal, call: Pick<CallerCall, 'request' | 'response'> & { account?: { name: string } }, { daemon }: EntryContext): void {
  const account = call.account?.name
  setRequestIdHeader(call)
  const recorded = daemon.refusals.add(refusal, { request: call.request, ...(account === undefined ? {} : { account }) })
  daemon.metrics.requests.inc({ outcome: recorded.reason })
  daemon.log.emit('requestRefused', { request: call.request, refusal: recorded.id, reason: recorded.reason, verdict: recorded.verdict.kind })
  sendRefusal(call.response, recorded)
}
