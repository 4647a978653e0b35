import { PassThrough, type Duplex } from 'node:stream'
import type { Socket } from 'node:net'
import test from 'ava'
import fc from 'fast-check'
import { createChunkEncoder } from '../createChunkEncoder/index.js'
import { openFramedConnection } from './index.js'

/** Reads a connection to its end; `undefined` if it failed. */
function readAll (connection: Duplex): Promise<string | undefined> {
  return new Promise(resolve => {
    let text = ''
    connection.on('data', (bytes: Buffer) => { text += bytes.toString('latin1') })
    connection.once('end', () => resolve(text))
    connection.once('error', () => resolve(undefined))
  })
}

/** Frames parts as a peer does. */
async function frame (parts: readonly string[]): Promise<Buffer> {
  const encoder = createChunkEncoder()
  for (const part of parts) encoder.write(Buffer.from(part, 'latin1'))
  encoder.end()
  const chunks: Buffer[] = []
  for await (const chunk of encoder) chunks.push(Buffer.from(chunk))
  return Buffer.concat(chunks)
}

/** What a host reads if the framed bytes arrive in these pieces, and then the connection ends. */
function receive (pieces: readonly Buffer[]): Promise<string | undefined> {
  const socket = new PassThrough()
  const read = readAll(openFramedConnection(socket as unknown as Socket))
  for (const piece of pieces) socket.write(piece)
  socket.end()
  return read
}

const PARTS = fc.array(fc.string({ minLength: 1, maxLength: 40 }).map(text => Buffer.from(text).toString('latin1')), { maxLength: 6 })

test('what a peer frames arrives unchanged, however it is cut into pieces', async t => {
  await fc.assert(fc.asyncProperty(PARTS, fc.integer({ min: 1, max: 7 }), async (parts, pieceBytes) => {
    const framed = await frame(parts)
    const pieces = Array.from({ length: Math.ceil(framed.length / pieceBytes) }, (_, index) => framed.subarray(index * pieceBytes, (index + 1) * pieceBytes))
    t.is(await receive(pieces), parts.join(''))
  }))
})

test('a connection that ends before its last chunk fails, wherever it ends', async t => {
  const framed = await frame(['half', 'of it'])
  // The last line end adds nothing to the size of 0 before it.
  for (let bytes = 0; bytes <= framed.length - '0\r\n\r\n'.length; bytes++) t.is(await receive([framed.subarray(0, bytes)]), undefined, `${bytes} bytes`)
  t.is(await receive([framed]), 'halfof it')
})

test('bytes that are no chunks fail', async t => {
  for (const text of ['HTTP/1.1 200 OK\r\n\r\n', '4\r\nhalfX\r\n0\r\n\r\n', '-1\r\n', 'x'.repeat(40)]) t.is(await receive([Buffer.from(text)]), undefined, text)
})
