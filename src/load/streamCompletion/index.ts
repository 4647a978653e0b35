/**
 * Sends one streamed completions request as a caller would, and records the time of every token.
 */
import http from 'node:http'
import type { Runtime } from '../../runtime/types.js'

/** One request. */
export interface CompletionCall {
  /** `ip:port` of a caller port. */
  address: string
  token: string
  model: string
  prompt: string
  maxTokens: number
  /** Deadline of the caller for the complete answer, in milliseconds. */
  deadlineMs?: number
  /** `id` of the last event that the caller received, to resume the answer at another entry. */
  lastEventId?: string
}

/** What the caller received. */
export interface CompletionOutcome {
  /** `complete` only when the end of the answer was received. */
  kind: 'complete' | 'refused' | 'broken'
  status: number
  tokens: string[]
  /** Time of each token on the runtime's monotonic clock, in milliseconds. */
  tokenAtMs: number[]
  /** `id` of each token's event. */
  ids: string[]
  /** Request id assigned by the entry. */
  requestId?: string
  /** `id` of the last event received. */
  lastEventId?: string
  /** Body of a refusal, or of the error event that ended a stream. */
  problem?: { reason: number, verdict: string, [field: string]: unknown }
}

/**
 * @name streamCompletion
 * @summary Sends one streamed request and reads its answer to the end.
 * @param call - The request.
 * @param options - Runtime and the HTTP agent that reuses connections.
 * @returns The outcome; the promise never rejects.
 *
 * @example
 * const outcome = await streamCompletion({ address, token, model: 'draft', prompt, maxTokens: 16 }, { runtime, agent })
 */
export function streamCompletion (call: CompletionCall, options: { runtime: Runtime, agent: http.Agent }): Promise<CompletionOutcome> {
  const { runtime, agent } = options
  const [host, port] = call.address.split(':')
  const outcome: CompletionOutcome = { kind: 'broken', status: 0, tokens: [], tokenAtMs: [], ids: [] }
  return new Promise(resolve => {
    const outgoing = http.request({
      host,
      port: Number(port),
      agent,
      method: 'POST',
      path: '/v1/completions',
      headers: {
        authorization: `Bearer ${call.token}`,
        'content-type': 'application/json',
        ...(call.lastEventId === undefined ? {} : { 'last-event-id': call.lastEventId })
      }
    })
    outgoing.on('error', () => resolve(outcome))
    outgoing.on('response', response => {
      outcome.status = response.statusCode ?? 0
      const requestId = response.headers['x-request-id']
      if (typeof requestId === 'string') outcome.requestId = requestId
      let pendingText = ''
      response.setEncoding('utf8')
      response.on('data', (chunk: string) => {
        if (outcome.status !== 200) {
          pendingText += chunk
          return
        }
        const events = (pendingText + chunk).split('\n\n')
        pendingText = events.pop() ?? ''
        for (const event of events) applyEvent(event, outcome, runtime.monotonicMs())
      })
      response.on('error', () => resolve(outcome))
      response.on('end', () => {
        if (outcome.status !== 200) applyProblem(pendingText, outcome)
        resolve(outcome)
      })
    })
    const { model, prompt, maxTokens, deadlineMs } = call
    outgoing.end(JSON.stringify({
      model, prompt, max_tokens: maxTokens, stream: true, ...(deadlineMs === undefined ? {} : { deadline_ms: deadlineMs })
    }))
  })
}

function applyEvent (event: string, outcome: CompletionOutcome, atMs: number): void {
  const fields = new Map(event.split('\n').map(line => {
    const at = line.indexOf(': ')
    return [line.slice(0, at), line.slice(at + 2)] as const
  }))
  const data = fields.get('data') ?? ''
  if (data === '[DONE]') {
    outcome.kind = 'complete'
    return
  }
  if (fields.get('event') === 'error') return applyProblem(data, outcome)
  const id = fields.get('id')
  if (id !== undefined) {
    outcome.lastEventId = id
    outcome.ids.push(id)
  }
  const { choices } = JSON.parse(data) as { choices: Array<{ text: string }> }
  outcome.tokens.push(choices[0]?.text ?? '')
  outcome.tokenAtMs.push(atMs)
}

function applyProblem (text: string, outcome: CompletionOutcome): void {
  try {
    outcome.problem = JSON.parse(text) as NonNullable<CompletionOutcome['problem']>
    outcome.kind = 'refused'
  } catch {
    outcome.kind = 'broken'
  }
}
