import { once } from 'node:events'
import { Readable } from 'node:stream'
import type { IncomingMessage } from 'node:http'
import test from 'ava'
import { readAnswerBody } from '../../src/gateway/_lib/readAnswerBody.js'

const answer = (): IncomingMessage => Object.assign(Readable.from([Buffer.from('half')]), { headers: {}, complete: true }) as unknown as IncomingMessage

test('a body is read only if its end is judged to be whole', async t => {
  t.is((await readAnswerBody(answer(), async () => 'whole'))?.toString(), 'half')
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
