/**
 * Client for plain services over HTTP. Each call uses a new connection: on a kept-alive one that the
 * service closes while a call is being written, or that no longer gets a response, it would be
 * unknown whether the call ran.
 */
import { buildConnector, Client, type Dispatcher } from 'undici'
import type { Socket } from 'node:net'
import type { Runtime } from '../../runtime/types.js'
import { withDeadline } from '../../runtime/withDeadline/index.js'
import type { SendOptions, ServiceCall, ServiceClient, ServiceResult } from '../types.js'

/** Longest response body that is accepted from a service. */
const MAX_RESPONSE_BYTES = 8_388_608

/** Options of the client. */
export interface HttpServiceOptions {
  connectTimeoutMs: number
  runtime: Runtime
}

/** Connection of one call. */
interface Connection {
  client: Client
  /** Whether any byte of the call may have been sent. */
  mayHaveSent: () => boolean
}

/**
 * @name createHttpService
 * @summary Creates a service client over HTTP that never sends a call twice.
 * @param options - Connect timeout and runtime.
 * @returns The client; its disposal closes every connection.
 *
 * @example
 * await using services = createHttpService({ connectTimeoutMs: 500, runtime })
 */
export function createHttpService (options: HttpServiceOptions): ServiceClient {
  const openClients = new Set<Client>()
  return {
    async send (address, call, sendOptions) {
      const connection = openConnection(address, options.connectTimeoutMs, sendOptions)
      openClients.add(connection.client)
      try {
        return await sendCall(connection, call, { ...sendOptions, runtime: options.runtime })
      } finally {
        openClients.delete(connection.client)
        await connection.client.destroy()
      }
    },
    async [Symbol.asyncDispose] () {
      await Promise.all([...openClients].map(client => client.destroy()))
    }
  }
}

async function sendCall (connection: Connection, call: ServiceCall, options: SendOptions & { runtime: Runtime }): Promise<ServiceResult> {
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
    const body = await readBody(response)
    const contentType = String(response.headers['content-type'] ?? 'application/octet-stream')
    return { kind: 'answered', status: response.statusCode, contentType, body }
  } catch (error) {
    const cause = describeError(error)
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
        // A second connection is refused, so that the call is never sent twice.
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

async function readBody (response: Dispatcher.ResponseData): Promise<Buffer> {
  const chunks: Buffer[] = []
  let receivedBytes = 0
  for await (const chunk of response.body as AsyncIterable<Buffer>) {
    receivedBytes += chunk.length
    if (receivedBytes > MAX_RESPONSE_BYTES) throw new Error(`answer over ${MAX_RESPONSE_BYTES} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

function describeError (error: unknown): string {
  const { code = '', message } = error as { code?: string, message: string }
  return `${code} ${message}`.trim()
}
