/**
 * Listening HTTP servers as owned resources.
 */
import http from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { PROBLEM_CONTENT_TYPE, toProblem } from '../../verdict/toProblem/index.js'
import type { Refusal } from '../../verdict/types.js'

/** Interval of the checks for requests that arrive too slowly. */
const DEADLINE_CHECK_MS = 1_000

/** Reasons for which a connection is refused before there is a request. */
export type MalformedReason = 'headerTooLarge' | 'senderTooSlow' | 'malformedRequest'

/** Reasons by the codes of Node's parser; any other code is a malformed request. */
const REASONS_BY_CODE: Record<string, MalformedReason> = {
  HPE_HEADER_OVERFLOW: 'headerTooLarge',
  ERR_HTTP_REQUEST_TIMEOUT: 'senderTooSlow'
}

/** A listening server; disposal closes it and every connection. */
export interface ListeningServer extends AsyncDisposable {
  /** `ip:port`. */
  address: string
  /** Takes no new connections and closes the idle ones; requests in progress go on. */
  stopAccepting: () => void
}

/** Starts an HTTP server, or what stands for one. */
export type Listen = (
  handler: (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>,
  options: ListenOptions
) => Promise<ListeningServer>

/** Where and with which limits to listen. */
export interface ListenOptions {
  address: string
  port: number
  /** Limit of all header lines of one request together. */
  headerSizeBytes?: number
  /** Longest time in which the header, and then the whole request, must arrive. */
  requestDeadlineMs?: number
  /** How long a connection may stay open between requests; Node's default unless given. */
  idleTimeoutMs?: number
  /** Refusal of what could not be read as a request; such connections are closed without one unless given. */
  refuseMalformed?: (reason: MalformedReason) => Refusal
  /** `true`: the handler answers `Expect: 100-continue`; otherwise Node sends `100 Continue` before it calls the handler. */
  isContinueSentByHandler?: boolean
}

/**
 * @name listen
 * @summary Starts an HTTP server.
 * @param handler - Called for each request; a rejection destroys the connection.
 * @param options - Address, port and limits.
 * @returns The server once it listens.
 *
 * @example
 * await using server = await listen(async (request, response) => response.end('ok'), { address: '127.0.0.1', port: 0 })
 */
export async function listen (
  handler: (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>,
  options: ListenOptions
): Promise<ListeningServer> {
  const { address, port, headerSizeBytes, requestDeadlineMs, idleTimeoutMs, refuseMalformed, isContinueSentByHandler = false } = options
  const server = http.createServer({
    ...(headerSizeBytes === undefined ? {} : { maxHeaderSize: headerSizeBytes }),
    ...(requestDeadlineMs === undefined
      ? {}
      : {
          headersTimeout: requestDeadlineMs, requestTimeout: 2 * requestDeadlineMs, connectionsCheckingInterval: DEADLINE_CHECK_MS
        }),
    ...(idleTimeoutMs === undefined ? {} : { keepAliveTimeout: idleTimeoutMs }),
    noDelay: true
  })
  const serve = (request: http.IncomingMessage, response: http.ServerResponse): void => {
    handler(request, response).catch(() => response.destroy())
  }
  server.on('request', serve)
  if (isContinueSentByHandler) server.on('checkContinue', serve)
  server.on('clientError', (error, socket) => refuseConnection(error, socket as Socket, refuseMalformed))
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, address, resolve)
  })
  const bound = server.address() as AddressInfo
  return {
    address: `${address}:${bound.port}`,
    stopAccepting: () => { server.close() },
    [Symbol.asyncDispose]: () => new Promise(resolve => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }
}

/** Answers on the bare connection, unless an answer to an earlier request is in progress on it. */
function refuseConnection (error: Error & { code?: string }, socket: Socket, refuse?: (reason: MalformedReason) => Refusal): void {
  const isAnswering = (socket as Socket & { _httpMessage?: unknown })._httpMessage != null
  if (refuse === undefined || isAnswering || !socket.writable || error.code === 'ECONNRESET') {
    socket.destroy()
    return
  }
  const problem = toProblem(refuse(REASONS_BY_CODE[error.code ?? ''] ?? 'malformedRequest'))
  const body = `${JSON.stringify(problem)}\n`
  const head = [
    `HTTP/1.1 ${problem.status} ${http.STATUS_CODES[problem.status] ?? ''}`,
    `content-type: ${PROBLEM_CONTENT_TYPE}`,
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close'
  ]
  socket.on('error', () => socket.destroy())
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`)
}
