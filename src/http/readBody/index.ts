/**
 * Reads a request body within a size limit and a deadline.
 */
import type { IncomingMessage } from 'node:http'
import type { Runtime } from '../../runtime/types.js'

/** A body, or why it could not be read; `aborted` when the connection closed or the signal aborted first. */
export type BodyResult =
  | { kind: 'body', body: Buffer }
  | { kind: 'tooLarge' }
  | { kind: 'tooSlow' }
  | { kind: 'aborted' }

/**
 * @name readBody
 * @summary Reads the whole body of a request.
 * @param request - The request.
 * @param options - Size limit in bytes, deadline in milliseconds, the runtime, and a signal that ends the reading early.
 * @returns The body, or why it could not be read; the rest of the body is then left unread.
 *
 * @example
 * const result = await readBody(request, { sizeBytes: 1024, deadlineMs: 1000, runtime })
 */
export function readBody (
  request: IncomingMessage,
  options: { sizeBytes: number, deadlineMs: number, runtime: Runtime, signal?: AbortSignal }
): Promise<BodyResult> {
  const { sizeBytes, deadlineMs, runtime, signal } = options
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    let receivedBytes = 0
    const finish = (result: BodyResult): void => {
      timer[Symbol.dispose]()
      request.removeListener('data', onData)
      signal?.removeEventListener('abort', abort)
      request.pause()
      resolve(result)
    }
    const onData = (chunk: Buffer): void => {
      receivedBytes += chunk.length
      if (receivedBytes > sizeBytes) return finish({ kind: 'tooLarge' })
      chunks.push(chunk)
    }
    const abort = (): void => finish({ kind: 'aborted' })
    const timer = runtime.setTimer(deadlineMs, () => finish({ kind: 'tooSlow' }))
    if (Number(request.headers['content-length'] ?? 0) > sizeBytes) return finish({ kind: 'tooLarge' })
    if (signal?.aborted) return abort()
    signal?.addEventListener('abort', abort, { once: true })
    request.on('data', onData)
    request.once('end', () => finish({ kind: 'body', body: Buffer.concat(chunks) }))
    request.once('close', abort)
  })
}
