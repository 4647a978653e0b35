/**
 * Sends each request to a target over a new connection. A late or duplicate answer on another
 * connection can then never be mistaken for this one, and a failed connect proves that the
 * request was not sent.
 */
import http from 'node:http'
import type { IncomingMessage } from 'node:http'
import type { Runtime } from '../../runtime/types.js'

/** Timeout of a connect, in milliseconds; several times the round trip between any two failure domains of a region. */
export const CONNECT_TIMEOUT_MS = 100

/** The answer once its headers arrived, or why there is none. */
export type ExchangeResult =
  | { kind: 'answered', answer: IncomingMessage }
  /** The connection was never established, so no byte of the request was sent. */
  | { kind: 'notSent', cause: string }
  /** The connection was established, but no headers of an answer arrived. */
  | { kind: 'lost', cause: string }

/** One request and its answer. */
export interface Exchange {
  result: Promise<ExchangeResult>
  /** Whether the connection has failed; an answer delimited by the end of its connection is then incomplete. */
  hasFailed: () => boolean
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
  runtime: Runtime
}

/** Sends a request to `ip:port`. */
export function openExchange (address: string, options: ExchangeOptions): Exchange {
  const { method, path, headers, body, runtime } = options
  const [ip, port] = address.split(':')
  const request = http.request({ host: ip, port: Number(port), method, path, headers, agent: false })
  let isConnected = false
  let hasFailed = false
  let isClosedHere = false
  const result = new Promise<ExchangeResult>(resolve => {
    // After a stall the event loop runs timers before socket events: wait for the poll phase, so that a connect that has succeeded meanwhile counts.
    const cancelConnect = (): void => { if (!isConnected) request.destroy(new Error('connect timed out')) }
    const timer = runtime.setTimer(CONNECT_TIMEOUT_MS, () => setImmediate(cancelConnect))
    request.once('socket', socket => socket.once('connect', () => {
      isConnected = true
      socket.setNoDelay(true)
      timer[Symbol.dispose]()
    }))
    request.once('response', answer => resolve({ kind: 'answered', answer }))
    // After this event the HTTP parser ends an answer without a length as if it were complete.
    request.on('error', error => {
      hasFailed = true
      timer[Symbol.dispose]()
      resolve({ kind: isConnected ? 'lost' : 'notSent', cause: error.message })
    })
    request.once('close', () => {
      timer[Symbol.dispose]()
      resolve({ kind: isConnected ? 'lost' : 'notSent', cause: 'connection closed' })
    })
  })
  request.end(body)
  return {
    result,
    hasFailed: () => hasFailed,
    isClosedHere: () => isClosedHere,
    close (cause) {
      isClosedHere = true
      request.destroy(new Error(cause))
    }
  }
}
