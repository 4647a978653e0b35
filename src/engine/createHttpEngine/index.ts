/**
 * Adapter to engines that speak HTTP and stream tokens as newline-delimited JSON.
 */
import http from 'node:http'
import { createSubject } from '../../stream/createSubject/index.js'
import type { Runtime } from '../../runtime/types.js'
import { createLineSplitter } from '../_lib/createLineSplitter.js'
import { requestJson } from '../_lib/requestJson.js'
import type { EngineClient, EngineEndpoint, EngineOrder, EngineStatus, OpenResult, OpenSequence, TokenFrame } from '../types.js'

/**
 * @name createHttpEngine
 * @summary Engine client over HTTP.
 * @param options - The runtime.
 * @returns The client; its disposal closes every connection.
 *
 * @example
 * await using engines = createHttpEngine({ runtime })
 */
export function createHttpEngine (options: { runtime: Runtime }): EngineClient {
  const { runtime } = options
  const agent = new http.Agent({ keepAlive: true, maxSockets: Infinity })
  const call = { agent, runtime }
  return {
    open: (endpoint, sequence, openOptions) => openStage(endpoint, sequence, { ...openOptions, agent, runtime }),
    async status (endpoint, { timeoutMs, fresh = false }) {
      const answer = await requestJson(endpoint, { method: 'GET', path: '/v1/status', timeoutMs, fresh, ...call })
      if (answer.kind === 'failed') return { kind: 'unreachable', cause: answer.cause }
      return { kind: 'status', status: answer.body as EngineStatus }
    },
    async order (endpoint, order: EngineOrder, { timeoutMs }) {
      const answer = await requestJson(endpoint, { method: 'PUT', path: '/v1/order', timeoutMs, body: order, ...call })
      if (answer.kind === 'failed') return { kind: 'unreachable', cause: answer.cause }
      if (answer.status === 200) return { kind: 'accepted' }
      return { kind: 'refused', cause: JSON.stringify(answer.body) }
    },
    async [Symbol.asyncDispose] () { agent.destroy() }
  }
}

interface OpenStageOptions {
  signal: AbortSignal
  connectTimeoutMs: number
  agent: http.Agent
  runtime: Runtime
}

function openStage (endpoint: EngineEndpoint, sequence: OpenSequence, options: OpenStageOptions): Promise<OpenResult> {
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
      resolve({ kind: 'open', stage: wrapStage(endpoint.target, outgoing, response) })
    })
    outgoing.end(JSON.stringify(sequence))
  })
}

async function readRefusal (response: http.IncomingMessage): Promise<OpenResult> {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of response) chunks.push(chunk)
  } catch (error) {
    return { kind: 'lost', cause: (error as Error).message }
  }
  return { kind: 'refused', status: response.statusCode ?? 0, cause: Buffer.concat(chunks).toString('utf8') }
}

function wrapStage (target: string, outgoing: http.ClientRequest, response: http.IncomingMessage): Extract<OpenResult, { kind: 'open' }>['stage'] {
  const subject = createSubject<TokenFrame>()
  const split = createLineSplitter(line => subject.next(JSON.parse(line) as TokenFrame))
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
  return {
    target,
    frames: subject.stream,
    pause: () => { response.pause() },
    resume: () => { response.resume() },
    async [Symbol.asyncDispose] () { if (!response.complete) outgoing.destroy() }
  }
}
