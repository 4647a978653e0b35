/**
 * The host's side of a connection whose bytes a peer frames in chunks.
 */
import { Duplex } from 'node:stream'
import type { Socket } from 'node:net'

/** Longest line with the size of a chunk, in bytes. */
const MAX_SIZE_LINE_BYTES = 16

const LINE_END = '\r\n'

/** Takes bytes and returns the content that they complete, up to the last chunk; throws if they are no chunks. */
function createChunkDecoder (): ((bytes: Buffer) => Buffer[]) & { hasEnded: () => boolean } {
  let buffered: Buffer = Buffer.alloc(0)
  let leftBytes = 0
  let isContentDone = false
  let hasEnded = false

  /** Removes a line, once all of it has arrived. */
  function takeLine (): string | undefined {
    const end = buffered.indexOf(LINE_END)
    if (end > MAX_SIZE_LINE_BYTES || (end < 0 && buffered.length > MAX_SIZE_LINE_BYTES)) throw new Error('malformed chunk from the peer')
    if (end < 0) return undefined
    const line = buffered.toString('latin1', 0, end)
    buffered = buffered.subarray(end + LINE_END.length)
    return line
  }

  const decode = (bytes: Buffer): Buffer[] => {
    buffered = buffered.length === 0 ? bytes : Buffer.concat([buffered, bytes])
    const contents: Buffer[] = []
    while (!hasEnded) {
      if (leftBytes > 0) {
        if (buffered.length === 0) break
        const content = buffered.subarray(0, leftBytes)
        buffered = buffered.subarray(content.length)
        leftBytes -= content.length
        isContentDone = leftBytes === 0
        contents.push(content)
        continue
      }
      const line = takeLine()
      if (line === undefined) break
      if (isContentDone) {
        if (line !== '') throw new Error('malformed chunk from the peer')
        isContentDone = false
        continue
      }
      if (!/^[\da-f]+$/i.test(line)) throw new Error('malformed chunk from the peer')
      leftBytes = parseInt(line, 16)
      hasEnded = leftBytes === 0
    }
    return contents
  }
  return Object.assign(decode, { hasEnded: () => hasEnded })
}

/**
 * @name openFramedConnection
 * @summary Wraps a connection whose input is framed in chunks.
 * @param socket - The connection to the peer; its output is passed on as it is.
 * @returns The connection to the target. It ends if the target has closed it, and fails if the peer ends without saying so.
 *
 * @example
 * const connection = openFramedConnection(socket)
 */
export function openFramedConnection (socket: Socket): Duplex {
  const decode = createChunkDecoder()
  const connection = new Duplex({
    allowHalfOpen: false,
    read () { socket.resume() },
    write (bytes: Buffer, _encoding, done) { socket.write(bytes, done) },
    final (done) { socket.end(() => done()) },
    destroy (error, done) {
      socket.destroy()
      done(error)
    }
  })
  socket.on('data', (bytes: Buffer) => {
    if (decode.hasEnded()) return
    try {
      for (const content of decode(bytes)) if (!connection.push(content)) socket.pause()
      if (decode.hasEnded()) connection.push(null)
    } catch (error) {
      connection.destroy(error as Error)
    }
  })
  socket.on('error', error => connection.destroy(error))
  const failUnlessEnded = (): void => { if (!decode.hasEnded()) connection.destroy(new Error('peer ended the connection before its target did')) }
  socket.once('end', failUnlessEnded)
  socket.once('close', failUnlessEnded)
  return connection
}
