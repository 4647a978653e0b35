/**
 * Reads the whole body of a target's answer.
 */
import type { IncomingMessage } from 'node:http'

/** Whether the head of an answer says how its body ends. */
export function isFramed (answer: IncomingMessage): boolean {
  return answer.headers['content-length'] !== undefined || answer.headers['transfer-encoding'] !== undefined
}

/**
 * Resolves with the body, or with `undefined` when it broke off. A body whose end only its
 * connection shows broke off if that connection failed; a framed one stands whatever comes after.
 */
export function readAnswerBody (answer: IncomingMessage, hasFailed: () => boolean): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    answer.on('data', (chunk: Buffer) => { chunks.push(chunk) })
    answer.once('end', () => resolve(answer.complete && (isFramed(answer) || !hasFailed()) ? Buffer.concat(chunks) : undefined))
    answer.once('error', () => resolve(undefined))
    answer.once('close', () => resolve(undefined))
  })
}
