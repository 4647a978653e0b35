/**
 * Reads the complete body of a target's answer.
 */
import type { IncomingMessage } from 'node:http'
import type { EndVerdict } from '../judgeAnswerEnd/index.js'

/** Largest body of an answer that is kept, in bytes; a host has 250 MB for all its calls. */
const MAX_BODY_BYTES = 16 * 2 ** 20

/** Resolves with the body, or with `undefined` if it is too large or `judgeEnd`, asked at its end, does not find it whole; the answer is then closed. */
export function readAnswerBody (answer: IncomingMessage, judgeEnd: () => Promise<EndVerdict>): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    let bytes = 0
    let hasEnded = false
    answer.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      if (bytes > MAX_BODY_BYTES) answer.destroy()
      else chunks.push(chunk)
    })
    answer.once('end', async () => {
      hasEnded = true
      resolve(await judgeEnd() === 'whole' ? Buffer.concat(chunks) : undefined)
    })
    answer.once('error', () => resolve(undefined))
    answer.once('close', () => { if (!hasEnded) resolve(undefined) })
  })
}
