/**
 * Writing an answer to its caller, as server-sent events or whole.
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
const EVENT_STREAM = 'text/event-stream'

/** Where the tokens of one answer go. */
export interface AnswerWriter {
  onToken: (frame: TokenFrame) => void
  onChain: (chain: OpenChain) => void
  complete: (tokens: number) => void
  fail: (refusal: Refusal) => void
}

/** Why an answer ended, as the completions form names it. */
function nameEnd (tokens: number, body: CompletionBody): 'length' | 'stop' {
  return tokens >= body.max_tokens ? 'length' : 'stop'
}

/** Collects the tokens and answers once. */
export function createWholeWriter (call: CallerCall, body: CompletionBody): AnswerWriter {
  const tokens: string[] = []
  return {
    onToken: frame => { tokens.push(frame.token) },
    onChain: () => {},
    complete: count => sendJson(call.response, 200, {
      id: call.request,
      object: 'text_completion',
      model: body.model,
      choices: [{ index: 0, text: tokens.join(''), finish_reason: nameEnd(count, body) }],
      usage: { completion_tokens: count }
    }),
    fail: refusal => sendRefusal(call.response, refusal)
  }
}

/** Writes each token as one event whose `id` names request, attempt and position. */
export function createStreamWriter (call: CallerCall, body: CompletionBody, { daemon }: EntryContext): AnswerWriter {
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
      send(formatEventId({ request, attempt: frame.attempt, position: frame.position }), {
        id: request,
        object: 'text_completion',
        model: body.model,
        choices: [{ index: 0, text: frame.token, finish_reason: frame.last ? nameEnd(frame.position + 1, body) : null }]
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
