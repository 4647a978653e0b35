/**
 * Client for plain services over HTTP. Each call uses a new connection: on a kept-alive one that the
 * service closes while a call is being written, or that no longer gets a response, it would be
 * unknown whether the call ran. An answer that only the end of its connection ends is whole if the
 * service still listens after that: the kernel closes the connections of a killed process in the same way.
 */
import { Client, type Dispatcher } from 'undici'
import type { Socket } from 'node:net'
import { connectSocket } from '../../links/connectSocket/index.js'
import { rejectOnAbort } from '../../runtime/rejectOnAbort/index.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import { withDeadline } from '../../runtime/withDeadline/index.js'
import type { SendOptions, ServiceCall, ServiceClient, ServiceResult } from '../types.js'

/** Longest response body that is accepted from a service. */
const MAX_RESPONSE_BYTES = 8_388_608

/** Time in which the kernel closes all connections of a process that has ended, in milliseconds. */
const PROCESS_EXIT_MS = 25

/** Statuses whose answers have no body. */
const BODILESS_STATUSES = new Set([204, 304])

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
  /** Whether the connection was reset; the HTTP client takes a reset for the end of an answer without a length. */
  wasReset: () => boolean
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
      const connection = openConnection(address, options, sendOptions)
      openClients.add(connection.client)
      try {
        return await sendCall(connection, address, call, { ...sendOptions, ...options })
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

async function sendCall (connection: Connection, address: string, call: ServiceCall, options: SendOptions & HttpServiceOptions): Promise<ServiceResult> {
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
    if (endsWithConnection(call.method, response)) await rejectOnAbort(confirmEnd(connection, address, options), deadline.signal)
    const contentType = String(response.headers['content-type'] ?? 'application/octet-stream')
    return { kind: 'answered', status: response.statusCode, contentType, body }
  } catch (error) {
    const cause = describeError(error)
    await connection.client.destroy()
    return { kind: connection.mayHaveSent() ? 'lost' : 'unreachable', cause }
  }
}

/** Whether nothing but the end of its connection marks the end of an answer. */
function endsWithConnection (method: string, { statusCode, headers }: Dispatcher.ResponseData): boolean {
  if (method === 'HEAD' || BODILESS_STATUSES.has(statusCode) || headers['content-length'] !== undefined) return false
  return !/(?:^|,)\s*chunked\s*$/i.test(String(headers['transfer-encoding'] ?? ''))
}

/** Rejects unless a connection ended without a reset and its service can still be connected to. */
async function confirmEnd ({ wasReset }: Connection, address: string, { connectTimeoutMs, runtime }: HttpServiceOptions): Promise<void> {
  await sleep(PROCESS_EXIT_MS, { runtime })
  const socket = await connectSocket(address, { timeoutMs: connectTimeoutMs, runtime })
  socket.destroy()
  if (wasReset()) throw new Error('connection reset at the end of the answer')
}

function openConnection (address: string, { connectTimeoutMs, runtime }: HttpServiceOptions, { mayStart = () => true }: SendOptions): Connection {
  let socket: Socket | undefined
  let wasReset = false
  const client = new Client(`http://${address}`, {
    pipelining: 1,
    async connect (_target, callback) {
      try {
        const connected = await connectSocket(address, { timeoutMs: connectTimeoutMs, runtime })
        // A second connection is refused, so that the call is never sent twice.
        if (socket !== undefined || !mayStart()) {
          connected.destroy()
          return callback(new Error('the time to send had passed'), null)
        }
        socket = connected
        // The HTTP client itself destroys the connection of a whole answer with an error.
        connected.once('error', (error: NodeJS.ErrnoException) => { wasReset = error.code === 'ECONNRESET' })
        callback(null, connected)
      } catch (error) {
        callback(error as Error, null)
      }
    }
  })
  return { client, mayHaveSent: () => socket !== undefined && socket.bytesWritten !== 0, wasReset: () => wasReset }
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
