/**
 * Reads the complete body of a target's answer.
 */
import type { IncomingMessage } from 'node:http'
import { createByteBuffer } from '../../http/createByteBuffer/index.js'
import type { EndVerdict } from '../judgeAnswerEnd/index.js'
import type { GatewayContext } from '../types.js'
import { createAnswerPacer } from './createAnswerPacer.js'
import { createByteBudget } from './createByteBudget.js'

/** Largest body of an answer that is kept, in bytes; a host has 250 MB for all its calls. */
const MAX_BODY_BYTES = 16 * 2 ** 20

/** Largest body of an error that is kept, in bytes. */
const MAX_ERROR_BODY_BYTES = 256 * 2 ** 10

/** Lowest status of an error. */
const FIRST_ERROR_STATUS = 400

/**
 * Resolves with the body, or with `undefined` if it is too large, or `judgeEnd`, asked at its end, does
 * not find it whole; the answer is then closed. Memory and time are shared with the other answers of the host, if
 * these are given.
 */
export function readAnswerBody (
  answer: IncomingMessage,
  judgeEnd: () => Promise<EndVerdict>,
  { answerBytes, answerPacer }: Pick<GatewayContext, 'answerBytes' | 'answerPacer'> = { answerBytes: createByteBudget(), answerPacer: createAnswerPacer() }
): Promise<Buffer | undefined> {
  const maxBytes = (answer.statusCode ?? 0) >= FIRST_ERROR_STATUS ? MAX_ERROR_BODY_BYTES : MAX_BODY_BYTES
  /** Only an answer that does not state its length may go on without end. */
  const lengthBytes = answer.headers['content-length'] === undefined ? undefined : Number(answer.headers['content-length'])
  const body = createByteBuffer(lengthBytes === undefined ? {} : { expectedBytes: lengthBytes })
  const takeBody = (): Buffer => lengthBytes === undefined ? Buffer.from(body.bytes()) : body.bytes()
  const claim = answerBytes.claim()
  const paced = answerPacer.pace(answer)
  return new Promise(resolve => {
    /** Chunks and the end that have already arrived are still emitted after the answer was destroyed. */
    let isSettled = false
    const finish = (result: Buffer | undefined): void => {
      if (isSettled) return
      isSettled = true
      claim[Symbol.dispose]()
      resolve(result)
    }
    answer.on('data', (chunk: Buffer) => {
      if (isSettled) return
      paced.noteChunk()
      if (body.size() + chunk.length <= maxBytes && (lengthBytes !== undefined || claim.tryGrow(chunk.length))) return body.append(chunk)
      finish(undefined)
      answer.destroy()
    })
    let hasEnded = false
    answer.once('end', async () => {
      if (isSettled) return
      hasEnded = true
      finish(await judgeEnd() === 'whole' ? takeBody() : undefined)
    })
    answer.once('error', () => finish(undefined))
    answer.once('close', () => { if (!hasEnded) finish(undefined) })
  })
}
