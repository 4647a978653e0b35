/**
 * Adapter to plain services over HTTP.
 */
import { Agent, request, type Dispatcher } from 'undici'
import type { Runtime } from '../../runtime/types.js'
import { withDeadline } from '../../runtime/withDeadline/index.js'
import type { ServiceClient } from '../types.js'

/** Codes of failures that happen before any byte of a call has left. */
const NEVER_CONNECTED = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/**
 * @name createHttpService
 * @summary Service client over HTTP; it never sends a call twice.
 * @param options - Connect timeout and runtime.
 * @returns The client; its disposal closes every connection.
 *
 * @example
 * await using services = createHttpService({ connectTimeoutMs: 500, runtime })
 */
export function createHttpService (options: { connectTimeoutMs: number, runtime: Runtime }): ServiceClient {
  const { connectTimeoutMs, runtime } = options
  const agent = new Agent({ connect: { timeout: connectTimeoutMs }, pipelining: 1 })
  return {
    async send (address, call, { timeoutMs, signal }) {
      using deadline = withDeadline(timeoutMs, { runtime, ...(signal ? { parent: signal } : {}) })
      try {
        const response = await request(`http://${address}${call.path}`, {
          dispatcher: agent,
          method: call.method as Dispatcher.HttpMethod,
          headers: call.headers,
          body: call.body.length === 0 ? null : call.body,
          signal: deadline.signal
        })
        const body = await response.body.text()
        const contentType = String(response.headers['content-type'] ?? 'application/octet-stream')
        return { kind: 'answered', status: response.statusCode, contentType, body }
      } catch (error) {
        const { code = '', message } = error as { code?: string, message: string }
        return { kind: NEVER_CONNECTED.has(code) ? 'unreachable' : 'lost', cause: message }
      }
    },
    [Symbol.asyncDispose]: () => agent.destroy()
  }
}
