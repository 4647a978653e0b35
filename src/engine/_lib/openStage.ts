/**
 * Opening a sequence on one engine over HTTP, and the stream of tokens that it answers with.
 */
import http from 'node:http'
import type { Runtime } from '../../runtime/types.js'
import { createSubject } from '../../stream/createSubject/index.js'
import type { EngineEndpoint, OpenResult, OpenSequence, OpenStage, TokenFrame } from '../types.js'
import { createLineSplitter } from './createLineSplitter.js'

/** How long the stream of a complete answer may take to end by itself, in milliseconds. */
const FINISH_MS = 2_000

/** What opening works with. */
export interface OpenStageOptions {
  signal: AbortSignal
  connectTimeoutMs: number
  agent: http.Agent
  runtime: Runtime
  /** Frees the sequence on the engine. */
  cancel: () => Promise<void>
}

/** Opens a sequence; the result tells whether anything may have reached the engine. */
export function openStage (endpoint: EngineEndpoint, sequence: OpenSequence, options: OpenStageOptions): Promise<OpenResult> {
  const { signal, agent, connectTimeoutMs, runtime } = options
  const [host, port] = endpoint.address.split(':')
  return new Promise(resolve => {
    let connected = false
    const outgoing = http.request({
      host, port: Number(port), agent, method: 'POST', path: '/v1/sequences', signal, headers: { 'content-type': 'application/json' }
    })
    const timer = runtime.setTimer(connectTimeoutMs, () => outgoing.destroy(new Error('no answer to the open')))
    outgoing.on('socket', socket => {
      if (!socket.connecting) connected = true
      socket.once('connect', () => { connected = true })
    })
    outgoing.on('error', error => {
      timer[Symbol.dispose]()
      resolve({ kind: connected ? 'lost' : 'unreachable', cause: error.message })
    })
    outgoing.on('response', response => {
      timer[Symbol.dispose]()
      if (response.statusCode !== 200) return resolve(readRefusal(response))
      resolve({ kind: 'open', stage: wrapStage(endpoint.target, { outgoing, response, options }) })
    })
    outgoing.end(JSON.stringify(sequence))
  })
}

async function readRefusal (response: http.IncomingMessage): Promise<OpenResult> {
  const status = response.statusCode ?? 0
  try {
    const chunks: Buffer[] = []
    for await (const chunk of response) chunks.push(chunk)
    const { cause, reason, attempt } = JSON.parse(Buffer.concat(chunks).toString('utf8')) as Partial<Extract<OpenResult, { kind: 'refused' }>>
    return { kind: 'refused', status, cause: cause ?? '', ...(reason && { reason }), ...(attempt && { attempt }) }
  } catch (error) {
    return { kind: 'lost', cause: (error as Error).message }
  }
}

/** The two directions of one open request. */
interface StageConnection {
  outgoing: http.ClientRequest
  response: http.IncomingMessage
  options: OpenStageOptions
}

function wrapStage (target: string, { outgoing, response, options }: StageConnection): OpenStage {
  const subject = createSubject<TokenFrame>({ holdUntilObserved: true })
  const split = createLineSplitter(line => subject.next(JSON.parse(line) as TokenFrame))
  let settled = false
  response.on('data', (chunk: Buffer) => {
    try {
      split(chunk)
    } catch {
      outgoing.destroy(new Error('the engine sent a line that is not JSON'))
    }
  })
  response.on('end', () => response.complete ? subject.complete() : subject.fail(new Error('the stage ended early')))
  response.on('error', error => subject.fail(error))
  response.on('close', () => subject.fail(new Error('the connection to the stage closed')))
  outgoing.on('error', error => subject.fail(error))

  function close (): void {
    if (!response.complete) outgoing.destroy()
  }

  return {
    target,
    frames: subject.stream,
    pause: () => { response.pause() },
    resume: () => { response.resume() },
    isPaused: () => response.isPaused(),
    detach () {
      settled = true
      close()
    },
    finish () {
      settled = true
      response.resume()
      if (response.complete) return
      const timer = options.runtime.setTimer(FINISH_MS, close)
      response.once('close', () => timer[Symbol.dispose]())
    },
    async [Symbol.asyncDispose] () {
      if (settled) return
      settled = true
      close()
      await options.cancel()
    }
  }
}
