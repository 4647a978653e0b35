/**
 * Reads and drops what is left of a request body that was answered early, so that the next request
 * on its connection can be read.
 */
import type { IncomingMessage } from 'node:http'
import type { Runtime } from '../../runtime/types.js'

/** Most bytes that are read to keep a connection. */
const MAX_DRAINED_BYTES = 4 * 2 ** 20

/** Longest time for which they are read, in milliseconds. */
const DRAIN_TIMEOUT_MS = 5_000

/**
 * @name drainBody
 * @summary Reads the rest of a request body; closes the connection if that is too large or takes too long.
 * @param request - The request; any reader of its body must have stopped.
 * @param options - The runtime.
 *
 * @example
 * response.writeHead(413).end()
 * drainBody(request, { runtime })
 */
export function drainBody (request: IncomingMessage, { runtime }: { runtime: Runtime }): void {
  if (request.readableEnded || request.destroyed) return
  let drainedBytes = 0
  const timer = runtime.setTimer(DRAIN_TIMEOUT_MS, () => request.destroy())
  request.once('close', () => timer[Symbol.dispose]())
  request.on('data', (chunk: Buffer) => {
    drainedBytes += chunk.length
    if (drainedBytes > MAX_DRAINED_BYTES) request.destroy()
  })
  request.resume()
}
