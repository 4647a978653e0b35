/**
 * HTTP calls to a handler without a socket.
 */
import http from 'node:http'
import net from 'node:net'

/** One call. */
export interface HandlerCall {
  method: string
  url: string
  headers?: Record<string, string>
  body?: string
}

/** The answer as it comes. */
export interface HandlerAnswer {
  response: http.ServerResponse
  status: () => number
  /** Body so far. */
  body: () => string
  /** Whether the handler ended the answer, its caller left, or its host was lost. */
  state: () => 'open' | 'ended' | 'closed'
  /** Closes the connection from the caller's side. */
  close: () => void
  /** Breaks the connection without a word to the handler, as the death of its process does. */
  lose: () => void
  /** Called with each part of the body. */
  onChunk: (listener: (chunk: string) => void) => void
}

/** A response that keeps its body instead of writing it to a socket. */
class MemoryResponse extends http.ServerResponse {
  chunks = ''
  state: 'open' | 'ended' | 'closed' = 'open'
  listener: (chunk: string) => void = () => {}

  override write (chunk: unknown): boolean {
    this.take(chunk)
    return true
  }

  override end (chunk?: unknown): this {
    if (this.state !== 'open') return this
    if (typeof chunk === 'string' || Buffer.isBuffer(chunk)) this.take(chunk)
    this.state = 'ended'
    this.emit('finish')
    this.emit('close')
    return this
  }

  override destroy (): this {
    this.closeEarly()
    return this
  }

  closeEarly (): void {
    if (this.state !== 'open') return
    this.state = 'closed'
    this.destroyed = true
    this.emit('close')
  }

  private take (chunk: unknown): void {
    if (this.state !== 'open') return
    const text = String(chunk)
    this.chunks += text
    this.listener(text)
  }
}

/**
 * @name invokeHandler
 * @summary Calls a handler as a caller over HTTP would.
 * @param handler - Handler of a port.
 * @param call - The call.
 * @returns The answer, which may still be under way.
 *
 * @example
 * const answer = invokeHandler(handler, { method: 'GET', url: '/health/ready' })
 */
export function invokeHandler (
  handler: (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>,
  call: HandlerCall
): HandlerAnswer {
  const request = new http.IncomingMessage(new net.Socket())
  Object.assign(request, { method: call.method, url: call.url, headers: call.headers ?? {} })
  if (call.body !== undefined) request.push(call.body)
  request.push(null)
  const response = new MemoryResponse(request)
  handler(request, response).catch(() => response.closeEarly())
  return {
    response,
    status: () => response.statusCode,
    body: () => response.chunks,
    state: () => response.state,
    close: () => response.closeEarly(),
    lose: () => { if (response.state === 'open') response.state = 'closed' },
    onChunk: listener => { response.listener = listener }
  }
}
