/**
 * Opens a sequence on one engine over HTTP and reads the stream of tokens in its response.
 */
import http from 'node:http'
import type { Runtime } from '../../runtime/types.js'
import { createSubject } from '../../stream/createSubject/index.js'
import type { EngineEndpoint, OpenResult, OpenSequence, OpenStage, TokenFrame } from '../types.js'
import { createLineSplitter } from './createLineSplitter.js'

/** How long the stream of a complete answer may stay open before its connection is closed, in milliseconds. */
const FINISH_TIMEOUT_MS = 2_000

/** Connection and limits of one open request. */
export interface OpenStageOptions {
  signal: AbortSignal
  /** Limit for connecting and receiving the response headers. */
  connectTimeoutMs: number
  agent: http.Agent
  runtime: Runtime
  /** Frees the sequence on the engine. */
  cancel: () => Promise<void>
}

/** Opens a sequence; `lost` means that the request may have reached the engine, `unreachable` that it did not. */
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
      resolve({ kind: 'open', stage: createStage(endpoint.target, { outgoing, response, options }) })
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

/** Request and response of one open stage. */
interface StageConnection {
  outgoing: http.ClientRequest
  response: http.IncomingMessage
  options: OpenStageOptions
}

function createStage (target: string, { outgoing, response, options }: StageConnection): OpenStage {
  const subject = createSubject<TokenFrame>({ holdUntilObserved: true })
  const splitLines = createLineSplitter(line => subject.next(JSON.parse(line) as TokenFrame))
  /** Set once the stage is detached, finished or disposed of; disposal then sends no cancellation. */
  let released = false
  response.on('data', (chunk: Buffer) => {
    try {
      splitLines(chunk)
    } catch {
      outgoing.destroy(new Error('the engine sent a line that is not JSON'))
    }
  })
  response.on('end', () => response.complete ? subject.complete() : subject.fail(new Error('the stage ended early')))
  response.on('error', error => subject.fail(error))
  response.on('close', () => subject.fail(new Error('the connection to the stage closed')))
  outgoing.on('error', error => subject.fail(error))

  function closeConnection (): void {
    if (!response.complete) outgoing.destroy()
  }

  return {
    target,
    frames: subject.stream,
    pause: () => { response.pause() },
    resume: () => { response.resume() },
    isPaused: () => response.isPaused(),
    detach () {
      released = true
      closeConnection()
    },
    finish () {
      released = true
      response.resume()
      if (response.complete) return
      const timer = options.runtime.setTimer(FINISH_TIMEOUT_MS, closeConnection)
      response.once('close', () => timer[Symbol.dispose]())
    },
    async [Symbol.asyncDispose] () {
      if (released) return
      released = true
      closeConnection()
      await options.cancel()
    }
  }
}
