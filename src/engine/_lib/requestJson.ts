/**
 * Sends one JSON request with a time limit to a target.
 */
import http from 'node:http'
import type { Runtime } from '../../runtime/types.js'
import { withDeadline } from '../../runtime/withDeadline/index.js'
import type { EngineEndpoint } from '../types.js'

/** Parameters of one request. */
export interface RequestJsonOptions {
  method: string
  path: string
  /** Limit for the whole exchange, in milliseconds. */
  timeoutMs: number
  runtime: Runtime
  agent: http.Agent
  /** Opens a new connection instead of reusing a kept-alive one. */
  useNewConnection?: boolean
  body?: unknown
}

/** Result of one request; `connected` tells whether any byte of it may have been sent. */
export type JsonResult =
  | { kind: 'answered', status: number, body: unknown }
  | { kind: 'failed', connected: boolean, cause: string }

/** Sends one request and parses its JSON response. */
export async function requestJson (endpoint: EngineEndpoint, options: RequestJsonOptions): Promise<JsonResult> {
  using deadline = withDeadline(options.timeoutMs, { runtime: options.runtime })
  const [host, port] = endpoint.address.split(':')
  const agent = options.useNewConnection ? new http.Agent({ keepAlive: false }) : options.agent
  return await new Promise(resolve => {
    let connected = false
    const outgoing = http.request({
      host, port: Number(port), agent, method: options.method, path: options.path, signal: deadline.signal, headers: { 'content-type': 'application/json' }
    })
    const fail = (error: Error): void => resolve({ kind: 'failed', connected, cause: error.message })
    outgoing.on('socket', socket => {
      if (!socket.connecting) connected = true
      socket.once('connect', () => { connected = true })
    })
    outgoing.on('error', fail)
    outgoing.on('response', response => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('error', fail)
      response.on('end', () => {
        try {
          resolve({ kind: 'answered', status: response.statusCode ?? 0, body: JSON.parse(Buffer.concat(chunks).toString('utf8')) })
        } catch (error) {
          fail(error as Error)
        }
      })
    })
    outgoing.end(options.body === undefined ? undefined : JSON.stringify(options.body))
  })
}
