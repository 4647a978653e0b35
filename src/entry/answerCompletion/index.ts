/**
 * Answers in the completions form, streamed as server-sent events or whole.
 */
import { sendRefusal } from '../../http/sendJson/index.js'
import { runPipeline } from '../../pipeline/runPipeline/index.js'
import type { AnswerRequest, AnswerResult } from '../../pipeline/types.js'
import { createRefusal, NEVER_SENT } from '../../verdict/createRefusal/index.js'
import type { Refusal } from '../../verdict/types.js'
import { createStreamWriter, createWholeWriter, type AnswerWriter } from '../_lib/answerWriter.js'
import { takeOver } from '../_lib/takeOver.js'
import { parseCompletion, countPromptTokens } from '../parseCompletion/index.js'
import type { CallerCall, EntryContext } from '../types.js'

/**
 * @name answerCompletion
 * @summary Serves one completions request.
 * @param received - The call with its body.
 * @param context - The entry's parts.
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
    const taken = await takeOver(String(lastEventId), { body, model, request, context })
    if (taken.kind === 'refused') return refuse(taken.refusal, call, context)
    request = taken.request
    call = { ...call, request: request.request }
  }
  nameRequest(call)
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
  const writer = body.stream ? createStreamWriter(call, body, context) : createWholeWriter(call, body)
  let first = true
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
      if (first) noteFirstToken(call, context, daemon.runtime.monotonicMs() - startedMs)
      first = false
      daemon.metrics.tokens.inc()
      route.recordToken()
      writer.onToken(frame)
    }
  })
  finish(result, writer, call, context)
}

/** Lets the caller quote the identity of its request. */
function nameRequest ({ response, request }: Pick<CallerCall, 'request' | 'response'>): void {
  if (!response.headersSent) response.setHeader('x-request-id', request)
}

function noteFirstToken (call: CallerCall, { daemon }: EntryContext, afterMs: number): void {
  daemon.metrics.firstTokenMs.observe(afterMs)
  daemon.log.emit('firstToken', { request: call.request, afterMs: Math.round(afterMs) })
}

function finish (result: AnswerResult, writer: AnswerWriter, call: CallerCall, { daemon }: EntryContext): void {
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

/** Refuses before anything was sent to a target. */
export function refuse (unnumbered: Refusal, call: Pick<CallerCall, 'request' | 'response'> & { account?: { name: string } }, { daemon }: EntryContext): void {
  const account = call.account?.name
  nameRequest(call)
  const refusal = daemon.refusals.add(unnumbered, { request: call.request, ...(account === undefined ? {} : { account }) })
  daemon.metrics.requests.inc({ outcome: refusal.reason })
  daemon.log.emit('requestRefused', { request: call.request, refusal: refusal.id, reason: refusal.reason, verdict: refusal.verdict.kind })
  sendRefusal(call.response, refusal)
}
