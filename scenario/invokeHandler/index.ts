/**
 * Calls HTTP handlers without a socket.
 */
import http from 'node:http'
import net from 'node:net'

/** An HTTP call. */
export interface HandlerCall {
  method: string
  url: string
  headers?: Record<string, string>
  body?: string
}

/** An answer, which may still be incomplete. */
export interface HandlerAnswer {
  response: http.ServerResponse
  status: () => number
  /** The part of the body received so far. */
  body: () => string
  /** `ended` by the handler, or `closed` because the caller disconnected or the process died. */
  state: () => 'open' | 'ended' | 'closed'
  /** Closes the connection as the caller; the handler is notified. */
  close: () => void
  /** Breaks the connection without notifying the handler, as the death of its process does. */
  breakSilently: () => void
  /** Registers the one listener for each part of the body. */
  onChunk: (listener: (chunk: string) => void) => void
}

/** A response that collects its body in memory. */
class MemoryResponse extends http.ServerResponse {
  bodyText = ''
  state: 'open' | 'ended' | 'closed' = 'open'
  listener: (chunk: string) => void = () => {}

  override write (chunk: unknown): boolean {
    this.appendChunk(chunk)
    return true
  }

  override end (chunk?: unknown): this {
    if (this.state !== 'open') return this
    if (typeof chunk === 'string' || Buffer.isBuffer(chunk)) this.appendChunk(chunk)
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

  private appendChunk (chunk: unknown): void {
    if (this.state !== 'open') return
    const text = String(chunk)
    this.bodyText += text
    this.listener(text)
  }
}

/**
 * @name invokeHandler
 * @summary Calls a handler as an HTTP server would.
 * @param handler - Request handler of a port.
 * @param call - The call.
 * @returns The answer, which may still be incomplete.
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
    body: () => response.bodyText,
    state: () => response.state,
    close: () => response.closeEarly(),
    breakSilently: () => { if (response.state === 'open') response.state = 'closed' },
    onChunk: listener => { response.listener = listener }
  }
}
