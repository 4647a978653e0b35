import { Readable } from 'node:stream'
import type { IncomingMessage } from 'node:http'
import test from 'ava'
import { readAnswerBody } from '../../src/gateway/_lib/readAnswerBody.js'

const answer = (headers: Record<string, string>): IncomingMessage =>
  Object.assign(Readable.from([Buffer.from('half')]), { headers, complete: true }) as unknown as IncomingMessage

test('a body without a length is truncated if its connection failed', async t => {
  t.is(await readAnswerBody(answer({}), () => true), undefined)
  t.is((await readAnswerBody(answer({}), () => false))?.toString(), 'half')
})

test('a complete body with a length is valid whatever happens to its connection', async t => {
  t.is((await readAnswerBody(answer({ 'content-length': '4' }), () => true))?.toString(), 'half')
})
