/**
 * Sends each request to a target over a new connection. A late or duplicate answer on another
 * connection can then never be mistaken for this one, and a failed connect proves that the
 * request was not sent.
 */
import http from 'node:http'
import type { IncomingMessage } from 'node:http'
import type { Duplex } from 'node:stream'
import { pollInput } from '../../runtime/pollInput/index.js'
import { OwnLinkError, type ConnectTarget, type TargetConnection } from '../../links/types.js'
import type { Obstacle } from './findObstacle.js'

/** The answer once its headers arrived, or why there is none. */
export type ExchangeResult =
  | { kind: 'answered', answer: IncomingMessage }
  /** No byte of the request was sent; `isOwnLink`: that says nothing of the target; `obstacle`: why the target should not get it any more. */
  | { kind: 'notSent', cause: string, isOwnLink: boolean, obstacle?: Obstacle | undefined }
  /** The connection was established, but no headers of an answer arrived. */
  | { kind: 'lost', cause: string }

/** One request and its answer. */
export interface Exchange {
  result: Promise<ExchangeResult>
  /** Whether the connection has failed; an answer delimited by the end of its connection is then incomplete. */
  hasFailed: () => boolean
  /** The peer through which the connection goes; `undefined` for a direct one, and before it is open. */
  relay: () => string | undefined
  /** Whether the end of the connection is the target's own, and not that of a peer. */
  isEndConfirmed: () => boolean
  /** Whether this host closed the connection itself. */
  isClosedHere: () => boolean
  /** Closes the connection; the target stops its work. */
  close: (cause: string) => void
}

/** The request to send. */
export interface ExchangeOptions {
  method: string
  path: string
  /** Raw headers: names and values alternate. */
  headers: string[]
  body: Buffer
  connect: ConnectTarget
  /** What keeps the request from being sent, asked once the connection is open or could not be opened; nothing by default. */
  findObstacle?: () => Obstacle | undefined
  /** Called with the connection before the request is sent. */
  onOpen?: (socket: Duplex) => void
}

const OBSTACLE_CAUSES: Record<Obstacle, string> = { paused: 'target asked for a pause meanwhile', left: 'target left meanwhile' }

/** Sends a request to `ip:port`. */
export function openExchange (address: string, options: ExchangeOptions): Exchange {
  const { connect, findObstacle = () => undefined, onOpen = () => {} } = options
  let hasFailed = false
  let closedBy: Error | undefined
  let request: http.ClientRequest | undefined
  let relay: string | undefined
  let isEndConfirmed = false
  let noteClosed = (): void => {}
  const whenClosed = new Promise<undefined>(resolve => { noteClosed = () => resolve(undefined) })
  const open = async (): Promise<ExchangeResult> => {
    const connecting = connect(address)
    let connection: TargetConnection | undefined
    try {
      connection = await Promise.race([connecting, whenClosed])
    } catch (error) {
      return { kind: 'notSent', cause: error instanceof Error ? error.message : String(error), isOwnLink: error instanceof OwnLinkError, obstacle: findObstacle() }
    }
    if (connection === undefined) {
      connecting.then(({ socket }) => socket.destroy(), () => { /* There is no connection to close. */ })
      return { kind: 'notSent', cause: closedBy!.message, isOwnLink: false }
    }
    // The caller may have left while this process stood still.
    const failure = await keepOpen(connection.socket, pollInput())
    if (closedBy !== undefined) {
      connection.socket.destroy()
      return { kind: 'notSent', cause: closedBy.message, isOwnLink: false }
    }
    if (failure !== undefined) {
      connection.socket.destroy()
      // A peer that closes the connection says nothing of the target.
      return { kind: 'notSent', cause: failure.message, isOwnLink: connection.relay !== undefined }
    }
    const obstacle = findObstacle()
    if (obstacle !== undefined) {
      connection.socket.destroy()
      return { kind: 'notSent', cause: OBSTACLE_CAUSES[obstacle], isOwnLink: false, obstacle }
    }
    relay = connection.relay
    isEndConfirmed = connection.isEndConfirmed
    onOpen(connection.socket)
    request = sendOver(connection.socket, options)
    // After this event the HTTP parser ends an answer without a length as if it were complete.
    request.on('error', () => { hasFailed = true })
    return await waitForAnswer(request)
  }
  return {
    result: open(),
    hasFailed: () => hasFailed,
    relay: () => relay,
    isEndConfirmed: () => isEndConfirmed,
    isClosedHere: () => closedBy !== undefined,
    close (cause) {
      closedBy ??= new Error(cause)
      noteClosed()
      request?.destroy(closedBy)
    }
  }
}

/** Waits with an open connection; resolves with the reason if it can no longer be used by then. */
async function keepOpen (socket: Duplex, waiting: Promise<void>): Promise<Error | undefined> {
  let failure: Error | undefined
  const noteFailure = (error: Error): void => { failure = error }
  socket.on('error', noteFailure)
  await waiting
  socket.off('error', noteFailure)
  // Bytes from before the request answer another one.
  if (failure === undefined && socket.readableLength > 0) return new Error('target sent bytes before the request')
  return failure ?? (socket.readable && socket.writable ? undefined : new Error('connection closed before the request was sent'))
}

function sendOver (socket: Duplex, { method, path, headers, body }: ExchangeOptions): http.ClientRequest {
  const request = http.request({ method, path, headers, createConnection: () => socket })
  request.end(body)
  return request
}

function waitForAnswer (request: http.ClientRequest): Promise<ExchangeResult> {
  return new Promise(resolve => {
    request.once('response', answer => resolve({ kind: 'answered', answer }))
    request.on('error', error => resolve({ kind: 'lost', cause: error.message }))
    request.once('close', () => resolve({ kind: 'lost', cause: 'connection closed' }))
  })
}
