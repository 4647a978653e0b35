/**
 * Reads a request body within a size limit and a deadline.
 */
import type { IncomingMessage } from 'node:http'
import type { Runtime } from '../../runtime/types.js'
import { createByteBuffer } from '../createByteBuffer/index.js'
import { drainBody } from '../drainBody/index.js'

/** A body, or why it could not be read; `aborted` when the connection closed or the signal aborted first. */
export type BodyResult =
  | { kind: 'body', body: Buffer }
  | { kind: 'tooLarge' }
  /** There is no memory for it now. */
  | { kind: 'noRoom' }
  | { kind: 'tooSlow' }
  | { kind: 'aborted' }

/**
 * @name readBody
 * @summary Reads the whole body of a request.
 * @param request - The request.
 * @param options - Size limit in bytes, deadline in milliseconds, the runtime, a signal that ends the reading early, and `tryGrow`, which is asked for the memory of each piece, in bytes; all are granted by default.
 * @returns The body, or why it could not be read; the rest of the body is then drained, so that its connection can be used again.
 *
 * @example
 * const result = await readBody(request, { sizeBytes: 1024, deadlineMs: 1000, runtime })
 */
export function readBody (
  request: IncomingMessage,
  options: { sizeBytes: number, deadlineMs: number, runtime: Runtime, signal?: AbortSignal, tryGrow?: (countBytes: number) => boolean }
): Promise<BodyResult> {
  const { sizeBytes, deadlineMs, runtime, signal, tryGrow = () => true } = options
  return new Promise(resolve => {
    const lengthBytes = Number(request.headers['content-length'] ?? Infinity)
    const body = createByteBuffer({ expectedBytes: lengthBytes })
    let isFinished = false
    const finish = (result: BodyResult): void => {
      if (isFinished) return
      isFinished = true
      timer[Symbol.dispose]()
      request.removeListener('data', onData)
      signal?.removeEventListener('abort', abort)
      if (result.kind !== 'body') {
        // The listeners of the request keep the buffer until its connection closes.
        body.discard(body.size())
        drainBody(request, { runtime })
      }
      resolve(result)
    }
    const onData = (chunk: Buffer): void => {
      if (body.size() + chunk.length > sizeBytes) return finish({ kind: 'tooLarge' })
      if (!tryGrow(chunk.length)) return finish({ kind: 'noRoom' })
      body.append(chunk)
    }
    const abort = (): void => finish({ kind: 'aborted' })
    const timer = runtime.setTimer(deadlineMs, () => finish({ kind: 'tooSlow' }))
    if (lengthBytes !== Infinity && lengthBytes > sizeBytes) return finish({ kind: 'tooLarge' })
    if (signal?.aborted) return abort()
    signal?.addEventListener('abort', abort, { once: true })
    request.on('data', onData)
    request.once('end', () => finish({ kind: 'body', body: lengthBytes === Infinity ? Buffer.from(body.bytes()) : body.bytes() }))
    request.once('close', abort)
  })
}
