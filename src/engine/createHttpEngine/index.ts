/**
 * Adapter to engines that speak HTTP and stream tokens as newline-delimited JSON.
 */
import http from 'node:http'
import type { Runtime } from '../../runtime/types.js'
import { openStage } from '../_lib/openStage.js'
import { requestJson } from '../_lib/requestJson.js'
import type { EngineClient, EngineEndpoint, EngineOrder, EngineStatus, HeldSequence } from '../types.js'

/**
 * @name createHttpEngine
 * @summary Engine client over HTTP.
 * @param options - The runtime.
 * @returns The client; its disposal waits for cancellations under way and closes every connection.
 *
 * @example
 * await using engines = createHttpEngine({ runtime })
 */
export function createHttpEngine (options: { runtime: Runtime }): EngineClient {
  const { runtime } = options
  const agent = new http.Agent({ keepAlive: true, maxSockets: Infinity })
  const call = { agent, runtime }
  const cancelling = new Set<Promise<unknown>>()

  /** Cancels on a new connection, as the kept ones may have gone silent. */
  async function cancel (endpoint: EngineEndpoint, request: string, attempt: number, timeoutMs: number): Promise<void> {
    const path = `/v1/sequences?request=${encodeURIComponent(request)}&attempt=${attempt}`
    const sent = requestJson(endpoint, { method: 'DELETE', path, timeoutMs, useNewConnection: true, ...call })
    cancelling.add(sent)
    await sent
    cancelling.delete(sent)
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
      const answer = await requestJson(endpoint, { method: 'GET', path, timeoutMs, useNewConnection, ...call })
      if (answer.kind === 'failed') return { kind: 'unreachable', cause: answer.cause }
      return answer.status === 200 ? { kind: 'known', held: answer.body as HeldSequence } : { kind: 'unknown' }
    },
    cancel: (endpoint, request, attempt, { timeoutMs }) => cancel(endpoint, request, attempt, timeoutMs),
    async status (endpoint, { timeoutMs, useNewConnection = false }) {
      const answer = await requestJson(endpoint, { method: 'GET', path: '/v1/status', timeoutMs, useNewConnection, ...call })
      if (answer.kind === 'failed') return { kind: 'unreachable', cause: answer.cause }
      return { kind: 'status', status: answer.body as EngineStatus }
    },
    async order (endpoint, order: EngineOrder, { timeoutMs }) {
      const answer = await requestJson(endpoint, { method: 'PUT', path: '/v1/order', timeoutMs, body: order, ...call })
      if (answer.kind === 'failed') return { kind: 'unreachable', cause: answer.cause }
      if (answer.status === 200) return { kind: 'accepted' }
      return { kind: 'refused', cause: JSON.stringify(answer.body) }
    },
    async [Symbol.asyncDispose] () {
      await Promise.all(cancelling)
      agent.destroy()
    }
  }
}

/** Closes the idle connections to an engine on one of which an answer never came. */
function dropIdleSockets (agent: http.Agent, { address }: EngineEndpoint): void {
  const [host, port] = address.split(':')
  const name = agent.getName({ host: host!, port: Number(port) })
  for (const socket of agent.freeSockets[name] ?? []) socket.destroy()
}
