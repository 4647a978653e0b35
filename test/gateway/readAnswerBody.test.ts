import { EventEmitter, once } from 'node:events'
import { Readable } from 'node:stream'
import type { IncomingMessage } from 'node:http'
import test from 'ava'
import { createAnswerPacer } from '../../src/gateway/_lib/createAnswerPacer.js'
import { createByteBudget } from '../../src/gateway/_lib/createByteBudget.js'
import { readAnswerBody } from '../../src/gateway/_lib/readAnswerBody.js'

const answer = (): IncomingMessage => Object.assign(Readable.from([Buffer.from('half')]), { headers: {}, complete: true }) as unknown as IncomingMessage

const WHOLE = async (): Promise<'whole'> => 'whole'

test('a body is read only if its end is judged to be whole', async t => {
  t.is((await readAnswerBody(answer(), WHOLE))?.toString(), 'half')
  for (const verdict of ['truncated', 'unknown'] as const) t.is(await readAnswerBody(answer(), async () => verdict), undefined)
})

test('a body is not given up while its end is judged after its connection has closed', async t => {
  const read = answer()
  const judgeEnd = async (): Promise<'whole'> => {
    await once(read, 'close')
    return 'whole'
  }
  t.is((await readAnswerBody(read, judgeEnd))?.toString(), 'half')
})

/** An answer in many short pieces, whose memory is used again once each was handled. */
function inPieces (statusCode: number, count: number, headers: Record<string, string> = {}): IncomingMessage {
  const source = Object.assign(new EventEmitter(), { headers, statusCode, complete: true, destroyed: false, pause () {}, resume () {}, destroy () { source.destroyed = true } })
  setImmediate(() => {
    const piece = Buffer.alloc(16)
    for (let index = 0; index < count && !source.destroyed; index++) {
      source.emit('data', piece.fill('x'))
      piece.fill(0)
    }
    source.emit(source.destroyed ? 'close' : 'end')
  })
  return source as unknown as IncomingMessage
}

// Guards against a heap that is filled by a Buffer for each short chunk of a body (LOST, case 1 of the review).
test('a body in short chunks is kept as one block, not as a list of its chunks', async t => {
  t.true((await readAnswerBody(inPieces(200, 30_000), WHOLE))?.equals(Buffer.alloc(480_000, 'x')))
})

// Guards against errors, and many answers at once, that take the memory of all calls (LOST, case 1 of the review).
test('an error keeps far less than a success, and answers without a length no more than all may hold together', async t => {
  t.is((await readAnswerBody(inPieces(500, 16_384), WHOLE))?.length, 2 ** 18)
  t.is(await readAnswerBody(inPieces(500, 16_385), WHOLE), undefined)
  const reading = { answerBytes: createByteBudget({ allowanceBytes: 1_000, sharedBytes: 1_000 }), answerPacer: createAnswerPacer() }
  t.is((await readAnswerBody(inPieces(200, 125), WHOLE, reading))?.length, 2_000)
  t.is(await readAnswerBody(inPieces(200, 126), WHOLE, reading), undefined)
  t.is((await readAnswerBody(inPieces(200, 125), WHOLE, reading))?.length, 2_000)
  t.is((await readAnswerBody(inPieces(200, 126, { 'content-length': '2016' }), WHOLE, reading))?.length, 2_016)
})
