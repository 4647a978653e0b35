/**
 * Stand-in of one engine or plain service of the platform. It records the requests it receives and
 * lets a script answer them on the bare socket, which can control each write.
 */
import { createServer, type Socket } from 'node:net'
import type { AddressInfo } from 'node:net'

/** A request as it was received. */
export interface ReceivedRequest {
  method: string
  path: string
  /** Headers by lower-case name. */
  headers: Record<string, string>
  rawHead: string
  body: string
}

/** Answers one request on its bare socket. */
export type EngineScript = (request: ReceivedRequest, socket: Socket) => void

/** A running stand-in. */
export interface PlatformEngineStandin extends AsyncDisposable {
  /** `ip:port`. */
  address: string
  /** Requests in the order of their receipt. */
  received: ReceivedRequest[]
  /** Number of requests whose connection closed before the script ended the answer. */
  countAborted: () => number
  /** Replaces the script for later requests. */
  setScript: (script: EngineScript) => void
}

/**
 * @name servePlatformEngine
 * @summary Starts a stand-in engine on a free loopback port.
 * @param script - Answers each request.
 * @returns The engine.
 *
 * @example
 * await using engine = await servePlatformEngine((request, socket) => socket.end(buildAnswer(request, 'ok')))
 */
export async function servePlatformEngine (script: EngineScript): Promise<PlatformEngineStandin> {
  const received: ReceivedRequest[] = []
  const sockets = new Set<Socket>()
  let currentScript = script
  let aborted = 0
  const server = createServer(socket => {
    sockets.add(socket)
    let bytes = ''
    let hasRequest = false
    socket.on('error', () => {})
    socket.on('close', () => {
      sockets.delete(socket)
      if (hasRequest && !socket.writableEnded) aborted++
    })
    socket.on('data', chunk => {
      bytes += chunk.toString('latin1')
      const request = hasRequest ? undefined : parseRequest(bytes)
      if (request === undefined) return
      hasRequest = true
      received.push(request)
      currentScript(request, socket)
    })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    received,
    countAborted: () => aborted,
    setScript: next => { currentScript = next },
    [Symbol.asyncDispose]: () => new Promise(resolve => {
      server.close(() => resolve())
      for (const socket of sockets) socket.destroy()
    })
  }
}

/** Builds a whole HTTP response with the request's id and a `Server-Seal`. */
export function buildAnswer (request: ReceivedRequest, body: string, options: { status?: string, headers?: string[] } = {}): string {
  const { status = '200 OK', headers = [] } = options
  const lines = [`HTTP/1.1 ${status}`, `Request-Id: ${request.headers['request-id']}`, 'Server-Seal: s.1', ...headers, `Content-Length: ${body.length}`, 'Connection: close']
  return `${lines.join('\r\n')}\r\n\r\n${body}`
}

/** Builds the head of an event stream in chunked encoding. */
export function buildStreamHead (request: ReceivedRequest): string {
  return `HTTP/1.1 200 OK\r\nRequest-Id: ${request.headers['request-id']}\r\nServer-Seal: s.1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n`
}

/** Builds the head of an answer that has neither a length nor chunks, so that it ends with its connection. */
export function buildUnframedHead (request: ReceivedRequest): string {
  return `HTTP/1.1 200 OK\r\nRequest-Id: ${request.headers['request-id']}\r\nServer-Seal: s.1\r\nConnection: close\r\n\r\n`
}

/** Encodes one event for each id, each as one chunk. */
export function encodeEvents (ids: readonly number[]): string {
  return ids.map(id => encodeChunk(encodeBareEvents([id]))).join('')
}

/** Encodes one event for each id, without chunks. */
export function encodeBareEvents (ids: readonly number[]): string {
  return ids.map(id => `id: ${id}\ndata: piece ${id}\n\n`).join('')
}

/** Encodes an ASCII text as one chunk. */
export function encodeChunk (text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}

/** Last chunk of a stream in chunked encoding. */
export const STREAM_END = '0\r\n\r\n'

/** Parses a request; `undefined` while it is incomplete. */
function parseRequest (bytes: string): ReceivedRequest | undefined {
  const end = bytes.indexOf('\r\n\r\n')
  if (end < 0) return undefined
  const rawHead = bytes.slice(0, end)
  const [requestLine = '', ...lines] = rawHead.split('\r\n')
  const [method = '', path = ''] = requestLine.split(' ')
  const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const body = bytes.slice(end + 4)
  return body.length < Number(headers['content-length'] ?? 0) ? undefined : { method, path, headers, rawHead, body }
}
