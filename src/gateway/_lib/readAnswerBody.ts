/**
 * Reads the complete body of a target's answer.
 */
import type { IncomingMessage } from 'node:http'

/** Largest body of an answer that is kept, in bytes; a host has 250 MB for all its calls. */
const MAX_BODY_BYTES = 16 * 2 ** 20

/** Whether the headers of an answer define where its body ends. */
export function isFramed (answer: IncomingMessage): boolean {
  return answer.headers['content-length'] !== undefined || answer.headers['transfer-encoding'] !== undefined
}

/**
 * Resolves with the body, or with `undefined` if it was truncated or is too large; the answer is
 * then closed. An unframed body counts as truncated if its connection failed; a complete framed one is
 * valid whatever happens afterwards.
 */
export function readAnswerBody (answer: IncomingMessage, hasFailed: () => boolean): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    let bytes = 0
    answer.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      if (bytes <= MAX_BODY_BYTES) return chunks.push(chunk)
      // The end may have arrived with this chunk, and is then still emitted.
      resolve(undefined)
      answer.destroy()
    })
    answer.once('end', () => resolve(answer.complete && (isFramed(answer) || !hasFailed()) ? Buffer.concat(chunks) : undefined))
    answer.once('error', () => resolve(undefined))
    answer.once('close', () => resolve(undefined))
  })
}
