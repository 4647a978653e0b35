/**
 * Client for engines that speak HTTP and stream tokens as newline-delimited JSON.
 */
import http from 'node:http'
import type { Runtime } from '../../runtime/types.js'
import { openStage } from '../_lib/openStage.js'
import { requestJson } from '../_lib/requestJson.js'
import type { EngineClient, EngineEndpoint, EngineOrder, EngineStatus, HeldSequence } from '../types.js'

/**
 * @name createHttpEngine
 * @summary Creates an engine client over HTTP.
 * @param options - The runtime.
 * @returns The client; its disposal waits for pending cancellations and closes every connection.
 *
 * @example
 * await using engines = createHttpEngine({ runtime })
 */
export function createHttpEngine (options: { runtime: Runtime }): EngineClient {
  const { runtime } = options
  const agent = new http.Agent({ keepAlive: true, maxSockets: Infinity })
  const transport = { agent, runtime }
  const pendingCancellations = new Set<Promise<unknown>>()

  /** Cancels over a new connection, because kept-alive ones may no longer get a response. */
  async function cancel (endpoint: EngineEndpoint, request: string, attempt: number, timeoutMs: number): Promise<void> {
    const path = `/v1/sequences?request=${encodeURIComponent(request)}&attempt=${attempt}`
    const cancellation = requestJson(endpoint, { method: 'DELETE', path, timeoutMs, useNewConnection: true, ...transport })
    pendingCancellations.add(cancellation)
    await cancellation
    pendingCancellations.delete(cancellation)
  }

  return {
    async open (endpoint, sequence, { signal, connectTimeoutMs, useNewConnection = false }) {
      const opened = await openStage(endpoint, sequence, {
        signal,
        connectTimeoutMs,
        agent: useNewConnection ? new http.Agent({ keepAlive: false }) : agent,
        runtime,
        cancel: () => cancel(endpoint, sequence.request, sequence.attempt, connectTimeoutMs)
      })
      if (opened.kind === 'lost') dropIdleSockets(agent, endpoint)
      return opened
    },
    async held (endpoint, request, { timeoutMs, useNewConnection = false }) {
      const path = `/v1/sequences?request=${encodeURIComponent(request)}`
      const result = await requestJson(endpoint, { method: 'GET', path, timeoutMs, useNewConnection, ...transport })
      if (result.kind === 'failed') return { kind: 'unreachable', cause: result.cause }
      return result.status === 200 ? { kind: 'known', held: result.body as HeldSequence } : { kind: 'unknown' }
    },
    cancel: (endpoint, request, attempt, { timeoutMs }) => cancel(endpoint, request, attempt, timeoutMs),
    async status (endpoint, { timeoutMs, useNewConnection = false }) {
      const result = await requestJson(endpoint, { method: 'GET', path: '/v1/status', timeoutMs, useNewConnection, ...transport })
      if (result.kind === 'failed') return { kind: 'unreachable', cause: result.cause }
      return { kind: 'status', status: result.body as EngineStatus }
    },
    async order (endpoint, order: EngineOrder, { timeoutMs }) {
      const result = await requestJson(endpoint, { method: 'PUT', path: '/v1/order', timeoutMs, body: order, ...transport })
      if (result.kind === 'failed') return { kind: 'unreachable', cause: result.cause }
      if (result.status === 200) return { kind: 'accepted' }
      return { kind: 'refused', cause: JSON.stringify(result.body) }
    },
    async [Symbol.asyncDispose] () {
      await Promise.all(pendingCancellations)
      agent.destroy()
    }
  }
}

/** Closes all idle connections to an engine after one of its connections gave no response. */
function dropIdleSockets (agent: http.Agent, { address }: EngineEndpoint): void {
  const [host, port] = address.split(':')
  const name = agent.getName({ host: host!, port: Number(port) })
  for (const socket of agent.freeSockets[name] ?? []) socket.destroy()
}
