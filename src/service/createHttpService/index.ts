/**
 * Adapter to plain services over HTTP. Each call has a connection of its own: a kept-alive
 * connection that the service closes as a call is written, or that has gone silent, would leave
 * open whether the call ran.
 */
import { buildConnector, Client, type Dispatcher } from 'undici'
import type { Socket } from 'node:net'
import type { Runtime } from '../../runtime/types.js'
import { withDeadline } from '../../runtime/withDeadline/index.js'
import type { SendOptions, ServiceCall, ServiceClient, ServiceResult } from '../types.js'

/** Longest answer that is taken from a service. */
const MAX_ANSWER_BYTES = 8_388_608

/** Options of the adapter. */
export interface HttpServiceOptions {
  connectTimeoutMs: number
  runtime: Runtime
}

/** What is known of the connection of one call. */
interface Connection {
  client: Client
  /** Whether a byte of the call may have left. */
  mayHaveSent: () => boolean
}

/**
 * @name createHttpService
 * @summary Service client over HTTP; it never sends a call twice.
 * @param options - Connect timeout and runtime.
 * @returns The client; its disposal closes every connection.
 *
 * @example
 * await using services = createHttpService({ connectTimeoutMs: 500, runtime })
 */
export function createHttpService (options: HttpServiceOptions): ServiceClient {
  const open = new Set<Client>()
  return {
    async send (address, call, sendOptions) {
      const connection = openConnection(address, options.connectTimeoutMs, sendOptions)
      open.add(connection.client)
      try {
        return await exchange(connection, call, { ...sendOptions, runtime: options.runtime })
      } finally {
        open.delete(connection.client)
        await connection.client.destroy()
      }
    },
    async [Symbol.asyncDispose] () {
      await Promise.all([...open].map(client => client.destroy()))
    }
  }
}

async function exchange (connection: Connection, call: ServiceCall, options: SendOptions & { runtime: Runtime }): Promise<ServiceResult> {
  const { timeoutMs, signal, runtime } = options
  using deadline = withDeadline(timeoutMs, { runtime, ...(signal ? { parent: signal } : {}) })
  try {
    const response = await connection.client.request({
      path: call.path,
      method: call.method as Dispatcher.HttpMethod,
      headers: call.headers,
      body: call.body.length === 0 ? null : call.body,
      signal: deadline.signal
    })
    const body = await readAnswer(response)
    const contentType = String(response.headers['content-type'] ?? 'application/octet-stream')
    return { kind: 'answered', status: response.statusCode, contentType, body }
  } catch (error) {
    const cause = describe(error)
    await connection.client.destroy()
    return { kind: connection.mayHaveSent() ? 'lost' : 'unreachable', cause }
  }
}

function openConnection (address: string, connectTimeoutMs: number, { mayStart = () => true }: SendOptions): Connection {
  const connect = buildConnector({ timeout: connectTimeoutMs })
  let socket: Socket | undefined
  const client = new Client(`http://${address}`, {
    pipelining: 1,
    connect (target, callback) {
      connect(target, (error, connected) => {
        if (error !== null) return callback(error, null)
        if (socket !== undefined || !mayStart()) {
          connected.destroy()
          return callback(new Error('the time to send had passed'), null)
        }
        socket = connected
        callback(null, connected)
      })
    }
  })
  return { client, mayHaveSent: () => socket !== undefined && socket.bytesWritten !== 0 }
}

async function readAnswer (response: Dispatcher.ResponseData): Promise<Buffer> {
  const chunks: Buffer[] = []
  let receivedBytes = 0
  for await (const chunk of response.body as AsyncIterable<Buffer>) {
    receivedBytes += chunk.length
    if (receivedBytes > MAX_ANSWER_BYTES) throw new Error(`answer over ${MAX_ANSWER_BYTES} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

function describe (error: unknown): string {
  const { code = '', message } = error as { code?: string, message: string }
  return `${code} ${message}`.trim()
}
