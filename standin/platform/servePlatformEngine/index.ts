/**
 * Stand-in of one engine or plain service of the platform: it records what reaches it and answers
 * as a script says, down to single packets.
 */
import { createServer, type Socket } from 'node:net'
import type { AddressInfo } from 'node:net'

/** A request as it arrived. */
export interface ReceivedRequest {
  method: string
  path: string
  /** Lower-case names. */
  headers: Record<string, string>
  rawHead: string
  body: string
}

/** Answers one request on its bare connection. */
export type EngineScript = (request: ReceivedRequest, socket: Socket) => void

/** A running engine. */
export interface PlatformEngineStandin extends AsyncDisposable {
  /** `ip:port`. */
  address: string
  received: ReceivedRequest[]
  /** Requests whose connection was closed by the other side. */
  countAborted: () => number
  /** Replaces the script. */
  setScript: (script: EngineScript) => void
}

/**
 * @name servePlatformEngine
 * @summary Starts an engine on a free port of the loopback.
 * @param script - Answers each request.
 * @returns The engine.
 *
 * @example
 * await using engine = await servePlatformEngine((request, socket) => socket.end(answerOf(request, 'ok')))
 */
export async function servePlatformEngine (script: EngineScript): Promise<PlatformEngineStandin> {
  const received: ReceivedRequest[] = []
  const sockets = new Set<Socket>()
  let currentScript = script
  let aborted = 0
  const server = createServer(socket => {
    sockets.add(socket)
    let bytes = ''
    let isAnswered = false
    socket.on('error', () => {})
    socket.on('close', () => {
      sockets.delete(socket)
      if (isAnswered && !socket.writableEnded) aborted++
    })
    socket.on('data', chunk => {
      bytes += chunk.toString('latin1')
      const request = isAnswered ? undefined : parseRequest(bytes)
      if (request === undefined) return
      isAnswered = true
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

/** A whole answer in bytes, signed and with the request's id. */
export function buildAnswer (request: ReceivedRequest, body: string, options: { status?: string, headers?: string[] } = {}): string {
  const { status = '200 OK', headers = [] } = options
  const lines = [`HTTP/1.1 ${status}`, `Request-Id: ${request.headers['request-id']}`, 'Server-Seal: s.1', ...headers, `Content-Length: ${body.length}`, 'Connection: close']
  return `${lines.join('\r\n')}\r\n\r\n${body}`
}

/** The head of a stream in chunks. */
export function buildStreamHead (request: ReceivedRequest): string {
  return `HTTP/1.1 200 OK\r\nRequest-Id: ${request.headers['request-id']}\r\nServer-Seal: s.1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n`
}

/** Events in one chunk each. */
export function encodeEvents (ids: readonly number[]): string {
  return ids.map(id => encodeChunk(`id: ${id}\ndata: piece ${id}\n\n`)).join('')
}

/** Text as one chunk. */
export function encodeChunk (text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}

/** End of a stream in chunks. */
export const STREAM_END = '0\r\n\r\n'

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
