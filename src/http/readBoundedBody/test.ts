import { Readable } from 'node:stream'
import test from 'ava'
import { readBoundedBody } from './index.js'

const PIECES = ['ab', 'c', 'de'].map(text => Buffer.from(text))

test('a body up to the limit is read, and one byte more closes it', async t => {
  t.is((await readBoundedBody(Readable.from(PIECES), 5)).toString(), 'abcde')
  const body = Readable.from(PIECES)
  await t.throwsAsync(readBoundedBody(body, 4), { message: 'body larger than 4 bytes' })
  t.true(body.destroyed)
})
