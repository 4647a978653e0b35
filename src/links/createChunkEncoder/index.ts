/**
 * Frames the bytes that a peer passes on, so that the end of the target's connection differs from the
 * end of the peer: the kernel closes the connections of a process that ends, but writes no last chunk.
 */
import { Transform } from 'node:stream'

/** Header with which a host asks a peer to frame the bytes of a connection, and with which the peer confirms it; in lower case. */
export const FRAMING_HEADER = 'relay-framing'

/** The only framing: chunks as in HTTP/1.1, without extensions and trailers. */
export const CHUNKED = 'chunked'

const LAST_CHUNK = '0\r\n\r\n'

/**
 * @name createChunkEncoder
 * @summary Creates a stream that frames its input in chunks.
 * @returns The stream; it writes the last chunk when its input has ended.
 *
 * @example
 * target.pipe(createChunkEncoder()).pipe(peer)
 */
export function createChunkEncoder (): Transform {
  return new Transform({
    transform (bytes: Buffer, _encoding, done) {
      this.push(Buffer.concat([Buffer.from(`${bytes.length.toString(16)}\r\n`), bytes, Buffer.from('\r\n')]))
      done()
    },
    flush (done) { done(null, LAST_CHUNK) }
  })
}
