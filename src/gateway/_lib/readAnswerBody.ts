/**
 * Reads the whole body of a target's answer.
 */
import type { IncomingMessage } from 'node:http'

/** Resolves with the body, or with `undefined` when it broke off. */
export function readAnswerBody (answer: IncomingMessage): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    answer.on('data', (chunk: Buffer) => { chunks.push(chunk) })
    answer.once('end', () => resolve(answer.complete ? Buffer.concat(chunks) : undefined))
    answer.once('error', () => resolve(undefined))
    answer.once('close', () => resolve(undefined))
  })
}
