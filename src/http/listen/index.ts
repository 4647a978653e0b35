/**
 * HTTP servers that are closed by disposal.
 */
import http from 'node:http'
import { Server as NetServer, type AddressInfo, type Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { cutAnswer } from '../cutAnswer/index.js'
import { PROBLEM_CONTENT_TYPE, toProblem } from '../../verdict/toProblem/index.js'
import { createWaiters } from '../../runtime/createWaiters/index.js'
import type { Runtime } from '../../runtime/types.js'
import type { Refusal } from '../../verdict/types.js'

/** Interval at which Node checks for requests that arrive too slowly, in milliseconds. */
const DEADLINE_CHECK_MS = 1_000

/** Reasons to refuse a connection before a request could be parsed. */
export type MalformedReason = 'headerTooLarge' | 'senderTooSlow' | 'malformedRequest'

/** Reasons by error code of Node's HTTP server; any other code is a malformed request. */
const REASONS_BY_ERROR_CODE: Record<string, MalformedReason> = {
  HPE_HEADER_OVERFLOW: 'headerTooLarge',
  ERR_HTTP_REQUEST_TIMEOUT: 'senderTooSlow'
}

/** A listening server. Disposal closes it and all its connections. */
export interface ListeningServer extends AsyncDisposable {
  /** `ip:port`. */
  address: string
  /** Accepts no more connections and closes the idle ones; requests in progress continue, and their connections close some time after the answers. */
  stopAccepting: () => void
  /** Resolves once all connections that have had a request are closed, or when the signal aborts. */
  whenClosed: (signal: AbortSignal) => Promise<void>
}

/** Starts an HTTP server, or a replacement for one, as in tests. */
export type Listen = (
  handler: (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>,
  options: ListenOptions
) => Promise<ListeningServer>

/** Address and limits of a server. */
export interface ListenOptions {
  address: string
  port: number
  /** Limit of the total size of a request's header, in bytes; Node's default unless given. */
  headerSizeBytes?: number
  /** Time limit for a request's header; the whole request may take twice as long. Node's defaults unless given. */
  requestDeadlineMs?: number
  /** How long an idle connection is kept open between requests; Node's default unless given. */
  idleTimeoutMs?: number
  /** How long a connection stays open after its answer once no more are accepted, for a caller that was promised to be able to send on; it closes at once by default. */
  linger?: { forMs: number, runtime: Pick<Runtime, 'setTimer'> }
  /** Creates the refusal that is sent if no request could be parsed; if absent, the connection is closed without a response. */
  refuseMalformed?: (reason: MalformedReason) => Refusal
  /** `true`: the handler answers `Expect: 100-continue`; otherwise Node sends `100 Continue` before it calls the handler. */
  isContinueSentByHandler?: boolean
  /** Takes over the connection of a CONNECT request; if absent, the connection is closed. */
  onConnect?: (request: http.IncomingMessage, stream: Duplex, head: Buffer) => void
  /** Called with each new connection; all that is read of it then passes through its stream, where it can be sliced. */
  onConnection?: (socket: Socket) => void
  /** Called before a connection is destroyed because its handler rejected. */
  onHandlerError?: (error: unknown) => void
}

/**
 * @name listen
 * @summary Starts an HTTP server.
 * @param handler - Called for each request; if it rejects, the connection is destroyed.
 * @param options - Address, port and limits.
 * @returns The server once it listens; rejects if the port cannot be opened.
 *
 * @example
 * await using server = await listen(async (request, response) => response.end('ok'), { address: '127.0.0.1', port: 0 })
 */
export async function listen (
  handler: (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>,
  options: ListenOptions
): Promise<ListeningServer> {
  const { address, port, headerSizeBytes, requestDeadlineMs, idleTimeoutMs, linger, refuseMalformed, isContinueSentByHandler = false, onConnect, onConnection, onHandlerError } = options
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
  /** Open connections that have had a request, with their incomplete responses. */
  const openResponses = new Map<Socket, Set<http.ServerResponse>>()
  /** Connections with bytes that are no request; they close after their answers. */
  const brokenConnections = new WeakSet<Socket>()
  const closeWaiters = createWaiters()
  let isAccepting = true

  function forget (socket: Socket): void {
    openResponses.delete(socket)
    if (openResponses.size === 0) closeWaiters.release()
  }

  function trackResponse (socket: Socket, response: http.ServerResponse): void {
    const responses = openResponses.get(socket) ?? new Set()
    if (!openResponses.has(socket)) socket.once('close', () => forget(socket))
    openResponses.set(socket, responses.add(response))
    response.once('close', () => {
      responses.delete(response)
      if (brokenConnections.has(socket) || (!isAccepting && linger === undefined)) closeIfIdle(socket)
      else if (!isAccepting) closeLater(socket, linger!)
    })
  }

  function closeLater (socket: Socket, { forMs, runtime }: NonNullable<ListenOptions['linger']>): void {
    const timer = runtime.setTimer(forMs, () => closeIfIdle(socket))
    socket.once('close', () => timer[Symbol.dispose]())
  }

  function closeIfIdle (socket: Socket): void {
    if (openResponses.get(socket)?.size === 0) socket.destroySoon()
  }

  function handleClientError (error: Error & { code?: string }, socket: Socket): void {
    const responses = [...openResponses.get(socket) ?? []]
    const isAnswerDue = responses.some(({ req }) => req.complete) && error.code !== 'ECONNRESET'
    if (isAnswerDue) brokenConnections.add(socket)
    else refuseOnSocket(error, socket, { isResponding: responses.length > 0, createRefusal: refuseMalformed })
  }

  const handleRequest = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
    const { socket } = request
    const earlier = [...openResponses.get(socket) ?? []]
    trackResponse(socket, response)
    // A pipelined request waits for the answers before it, as the connection may close after any of them.
    await Promise.all(earlier.map(waitForClose))
    if (!socket.writable) return
    try {
      await handler(request, response)
    } catch (error) {
      onHandlerError?.(error)
      cutAnswer(response)
    }
  }
  server.on('request', handleRequest)
  if (isContinueSentByHandler) server.on('checkContinue', handleRequest)
  if (onConnect !== undefined) server.on('connect', onConnect)
  if (onConnection !== undefined) {
    server.on('connection', socket => {
      // Without a listener of its own the parser takes the bytes from the system, past the stream.
      socket.on('data', () => {})
      onConnection(socket)
    })
  }
  server.on('clientError', (error, socket) => handleClientError(error, socket as Socket))
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, address, resolve)
  })
  const boundAddress = server.address() as AddressInfo
  return {
    address: `${address}:${boundAddress.port}`,
    stopAccepting () {
      isAccepting = false
      // Unlike http.Server, net.Server does not destroy connections whose last response is not flushed yet.
      NetServer.prototype.close.call(server)
      for (const socket of openResponses.keys()) closeIfIdle(socket)
    },
    whenClosed (signal) {
      return openResponses.size === 0 ? Promise.resolve() : closeWaiters.wait(signal)
    },
    [Symbol.asyncDispose]: () => new Promise(resolve => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }
}

function waitForClose (response: http.ServerResponse): Promise<void> {
  return new Promise(resolve => {
    if (response.closed) resolve()
    else response.once('close', resolve)
  })
}

/**
 * Writes a refusal to the socket and closes it, as there is no response object for a request that was
 * not parsed. The socket is destroyed instead if the request whose body is malformed has a response object.
 */
function refuseOnSocket (
  error: Error & { code?: string },
  socket: Socket,
  options: { isResponding: boolean, createRefusal: ListenOptions['refuseMalformed'] }
): void {
  const { isResponding, createRefusal } = options
  if (createRefusal === undefined || isResponding || !socket.writable || error.code === 'ECONNRESET') {
    socket.destroy()
    return
  }
  const problem = toProblem(createRefusal(REASONS_BY_ERROR_CODE[error.code ?? ''] ?? 'malformedRequest'))
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
