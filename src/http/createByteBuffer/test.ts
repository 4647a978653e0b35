import test from 'ava'
import { createByteBuffer } from './index.js'

test('bytes are kept in order, whatever becomes of their pieces', t => {
  const buffer = createByteBuffer()
  for (let index = 0; index < 3_000; index++) {
    const piece = Buffer.from(`${index},`)
    buffer.append(piece)
    piece.fill(0)
  }
  t.is(buffer.bytes().toString(), Array.from({ length: 3_000 }, (_, index) => `${index},`).join(''))
})

test('discarded bytes are gone, and later ones follow the rest', t => {
  const buffer = createByteBuffer()
  buffer.append(Buffer.from('one two'))
  buffer.discard(4)
  buffer.append(Buffer.from(' three'))
  t.is(buffer.bytes().toString(), 'two three')
  t.is(buffer.size(), 9)
})

test('many short pieces take few blocks', t => {
  const buffer = createByteBuffer()
  const blocks = new Set<ArrayBufferLike>()
  const piece = Buffer.alloc(16)
  for (let index = 0; index < 2 ** 16; index++) {
    buffer.append(piece)
    blocks.add(buffer.bytes().buffer)
  }
  t.is(buffer.size(), 2 ** 20)
  t.is(blocks.size, 12)
})

test('the block grows to the expected size and no further', t => {
  const buffer = createByteBuffer({ expectedBytes: 3_000 })
  for (let index = 0; index < 30; index++) buffer.append(Buffer.alloc(100))
  t.is(buffer.bytes().buffer.byteLength, 3_000)
})
