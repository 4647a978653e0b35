/**
 * One request to a target over a connection of its own. An answer that comes late or twice on
 * another connection can then never be taken for this one, and a failed connect proves that the
 * request was not sent.
 */
import http from 'node:http'
import type { IncomingMessage } from 'node:http'
import type { Runtime } from '../../runtime/types.js'

/** Deadline of a connect; several times the round trip between any two failure domains of a region. */
export const CONNECT_TIMEOUT_MS = 100

/** Head of an answer, or why there is none. */
export type ExchangeResult =
  | { kind: 'answered', answer: IncomingMessage }
  /** No byte of the request left. */
  | { kind: 'notSent', cause: string }
  /** Sent, and no head of an answer came. */
  | { kind: 'lost', cause: string }

/** An exchange under way. */
export interface Exchange {
  result: Promise<ExchangeResult>
  /** Whether the connection failed, now or before; an answer that ends with its connection is then not whole. */
  hasFailed: () => boolean
  /** Closes the connection; the target stops its work. */
  close: (cause: string) => void
}

/** What is sent. */
export interface ExchangeOptions {
  method: string
  path: string
  /** Raw headers, names and values in turn. */
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
  const result = new Promise<ExchangeResult>(resolve => {
    // A process that was held up sees its timers before its sockets: a connect that has come through meanwhile counts.
    const giveUp = (): void => { if (!isConnected) request.destroy(new Error('connect timed out')) }
    const timer = runtime.setTimer(CONNECT_TIMEOUT_MS, () => setImmediate(giveUp))
    request.once('socket', socket => socket.once('connect', () => {
      isConnected = true
      socket.setNoDelay(true)
      timer[Symbol.dispose]()
    }))
    request.once('response', answer => resolve({ kind: 'answered', answer }))
    // The parser ends an answer without a length after this event, as if it were whole.
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
  return { result, hasFailed: () => hasFailed, close: cause => { request.destroy(new Error(cause)) } }
}
