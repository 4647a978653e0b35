/**
 * Writes the answer to a completions request, either as server-sent events or as one JSON body.
 */
import type { TokenFrame } from '../../engine/types.js'
import { sendJson, sendRefusal } from '../../http/sendJson/index.js'
import type { OpenChain } from '../../pipeline/types.js'
import { toProblem } from '../../verdict/toProblem/index.js'
import type { Refusal } from '../../verdict/types.js'
import type { CompletionBody } from '../parseCompletion/index.js'
import { formatEventId } from '../parseLastEventId/index.js'
import type { CallerCall, EntryContext } from '../types.js'

/** Media type of a stream of server-sent events. */
const EVENT_STREAM_CONTENT_TYPE = 'text/event-stream'

/** Writes one answer to the caller's HTTP response. */
export interface AnswerWriter {
  onToken: (frame: TokenFrame) => void
  /** Called with the chain of each attempt once it is open, before its first token. */
  onChain: (chain: OpenChain) => void
  /** Ends a complete answer of `tokens` tokens. */
  complete: (tokens: number) => void
  /** Ends the answer with a refusal. */
  fail: (refusal: Refusal) => void
}

/** Value of `finish_reason` in the completions API. */
function toFinishReason (tokens: number, body: CompletionBody): 'length' | 'stop' {
  return tokens >= body.max_tokens ? 'length' : 'stop'
}

/** Collects all tokens and sends them as one JSON body. */
export function createJsonWriter (call: CallerCall, body: CompletionBody): AnswerWriter {
  const tokens: string[] = []
  return {
    onToken: frame => { tokens.push(frame.token) },
    onChain: () => {},
    complete: count => sendJson(call.response, 200, {
      id: call.request,
      object: 'text_completion',
      model: body.model,
      choices: [{ index: 0, text: tokens.join(''), finish_reason: toFinishReason(count, body) }],
      usage: { completion_tokens: count }
    }),
    fail: refusal => sendRefusal(call.response, refusal)
  }
}

/**
 * Writes each token as one server-sent event; its `id` consists of request, attempt and position.
 * Pauses the last stage of the chain while the caller has not read `readerBufferBytes` of the stream.
 */
export function createEventStreamWriter (call: CallerCall, body: CompletionBody, { daemon }: EntryContext): AnswerWriter {
  const { response, request } = call
  let chain: OpenChain | undefined
  let isPaused = false
  const lastStage = (): OpenChain['stages'][number] | undefined => chain?.stages.at(-1)
  response.on('drain', () => {
    isPaused = false
    lastStage()?.resume()
  })

  function writeHeadOnce (): void {
    if (response.headersSent) return
    response.writeHead(200, { 'content-type': EVENT_STREAM_CONTENT_TYPE, 'cache-control': 'no-store', 'x-request-id': request })
  }

  function writeEvent (id: string, data: unknown): void {
    response.write(`id: ${id}\ndata: ${JSON.stringify(data)}\n\n`)
    if (isPaused || response.writableLength < daemon.settings.limits.readerBufferBytes) return
    isPaused = true
    lastStage()?.pause()
  }

  return {
    onChain (openChain) {
      chain = openChain
      if (isPaused) lastStage()?.pause()
    },
    onToken (frame) {
      writeHeadOnce()
      writeEvent(formatEventId({ request, attempt: frame.attempt, position: frame.position }), {
        id: request,
        object: 'text_completion',
        model: body.model,
        choices: [{ index: 0, text: frame.token, finish_reason: frame.last ? toFinishReason(frame.position + 1, body) : null }]
      })
    },
    complete () {
      writeHeadOnce()
      response.end('data: [DONE]\n\n')
    },
    fail (refusal) {
      if (!response.headersSent) return sendRefusal(response, refusal)
      response.end(`event: error\ndata: ${JSON.stringify(toProblem(refusal))}\n\n`)
    }
  }
}
