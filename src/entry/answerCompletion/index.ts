/**
 * Answers in the completions form, streamed as server-sent events or whole.
 */
import { parseCompletion, countPromptTokens, type CompletionBody } from '../parseCompletion/index.js'
import { sendJson, sendRefusal } from '../../http/sendJson/index.js'
import { runPipeline } from '../../pipeline/runPipeline/index.js'
import type { AnswerRequest, AnswerResult, OpenChain } from '../../pipeline/types.js'
import { createRefusal } from '../../verdict/createRefusal/index.js'
import { toProblem } from '../../verdict/toProblem/index.js'
import type { Refusal } from '../../verdict/types.js'
import type { TokenFrame } from '../../engine/types.js'
import type { CallerCall, EntryContext } from '../types.js'

/** Media type of a stream of server-sent events. */
const EVENT_STREAM = 'text/event-stream'

/** Where the tokens of one answer go. */
interface AnswerWriter {
  onToken: (frame: TokenFrame) => void
  onChain: (chain: OpenChain) => void
  complete: (tokens: number) => void
  fail: (refusal: Refusal) => void
}

/**
 * @name answerCompletion
 * @summary Serves one completions request.
 * @param call - The call with its body.
 * @param context - The entry's parts.
 *
 * @example
 * await answerCompletion(call, context)
 */
export async function answerCompletion (call: CallerCall, context: EntryContext): Promise<void> {
  const { daemon } = context
  const { limits } = daemon.settings
  const parsed = parseCompletion(call.body)
  if (parsed.kind === 'invalid') return refuse(createRefusal('malformedRequest', { facts: { faults: parsed.faults } }), call, context)
  const { body } = parsed
  const promptTokens = countPromptTokens(body.prompt)
  if (promptTokens > limits.promptTokens) {
    return refuse(createRefusal('promptTooLong', { facts: { promptTokens, limit: limits.promptTokens } }), call, context)
  }
  const configuration = daemon.holder.current()
  const model = configuration.models.get(body.model)
  if (model === undefined) return refuse(createRefusal('unknownModel', { facts: { model: body.model } }), call, context)

  const request: AnswerRequest = {
    request: call.request,
    account: call.account.name,
    model: body.model,
    prompt: body.prompt,
    maxTokens: Math.min(body.max_tokens, limits.answerTokens),
    priority: call.account.priority,
    deadlineMs: body.deadline_ms ?? model.deadlines.answerMs,
    given: [],
    earlierAttempt: 0
  }
  const startedMs = daemon.runtime.monotonicMs()
  daemon.log.emit('requestAdmitted', { request: call.request, account: call.account.name, model: body.model })
  const writer = body.stream ? createStreamWriter(call, body, context) : createWholeWriter(call, body)
  using route = context.router.begin(request.model, request.maxTokens)
  let first = true
  const result = await runPipeline(request, {
    configuration: daemon.holder.current,
    engines: context.engines,
    directory: daemon.directory,
    pick: route.pick,
    runtime: daemon.runtime,
    log: daemon.log,
    signal: call.signal,
    onChain: writer.onChain,
    onToken (frame) {
      if (first) noteFirstToken(call, context, daemon.runtime.monotonicMs() - startedMs)
      first = false
      daemon.metrics.tokens.inc()
      route.noteToken()
      writer.onToken(frame)
    }
  })
  finish(result, writer, call, context)
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
  const refusal = createRefusal(reason, { verdict, facts: { ...facts, tokens, revision }, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) })
  daemon.refusals.add(refusal, { request: call.request, account: call.account.name })
  daemon.metrics.requests.inc({ outcome: reason })
  daemon.log.emit('requestFailed', { request: call.request, refusal: refusal.id, reason, verdict: verdict.kind, tokens })
  writer.fail(refusal)
}

/** Refuses before anything was sent to a target. */
export function refuse (refusal: Refusal, call: Pick<CallerCall, 'request' | 'response'> & { account?: { name: string } }, { daemon }: EntryContext): void {
  const account = call.account?.name
  daemon.refusals.add(refusal, { request: call.request, ...(account === undefined ? {} : { account }) })
  daemon.metrics.requests.inc({ outcome: refusal.reason })
  daemon.log.emit('requestRefused', { request: call.request, refusal: refusal.id, reason: refusal.reason, verdict: refusal.verdict.kind })
  sendRefusal(call.response, refusal)
}

function createWholeWriter (call: CallerCall, body: CompletionBody): AnswerWriter {
  const tokens: string[] = []
  return {
    onToken: frame => { tokens.push(frame.token) },
    onChain: () => {},
    complete: count => sendJson(call.response, 200, {
      id: call.request,
      object: 'text_completion',
      model: body.model,
      choices: [{ index: 0, text: tokens.join(''), finish_reason: count >= body.max_tokens ? 'length' : 'stop' }],
      usage: { completion_tokens: count }
    }),
    fail: refusal => sendRefusal(call.response, refusal)
  }
}

/** Writes each token as one event whose `id` names request, attempt and position. */
function createStreamWriter (call: CallerCall, body: CompletionBody, { daemon }: EntryContext): AnswerWriter {
  const { response, request } = call
  let chain: OpenChain | undefined
  let paused = false
  const last = (): OpenChain['stages'][number] | undefined => chain?.stages.at(-1)
  response.on('drain', () => {
    paused = false
    last()?.resume()
  })

  function begin (): void {
    if (response.headersSent) return
    response.writeHead(200, { 'content-type': EVENT_STREAM, 'cache-control': 'no-store', 'x-request-id': request })
  }

  function send (id: string, data: unknown): void {
    response.write(`id: ${id}\ndata: ${JSON.stringify(data)}\n\n`)
    if (paused || response.writableLength < daemon.settings.limits.readerBufferBytes) return
    paused = true
    last()?.pause()
  }

  return {
    onChain (open) {
      chain = open
      if (paused) last()?.pause()
    },
    onToken (frame) {
      begin()
      send(`${request}:${frame.attempt}:${frame.position}`, {
        id: request,
        object: 'text_completion',
        model: body.model,
        choices: [{ index: 0, text: frame.token, finish_reason: frame.last ? 'stop' : null }]
      })
    },
    complete () {
      begin()
      response.end('data: [DONE]\n\n')
    },
    fail (refusal) {
      if (!response.headersSent) return sendRefusal(response, refusal)
      response.end(`event: error\ndata: ${JSON.stringify(toProblem(refusal))}\n\n`)
    }
  }
}
