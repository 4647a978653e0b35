/**
 * Collects bytes that arrive in pieces in one block of memory. Pieces are copied: a list of many
 * short ones would hold far more memory than their bytes, and joining it each time would copy all
 * of them again.
 */

/** Size of the first block, in bytes. */
const FIRST_BLOCK_BYTES = 512

/** Largest block that is kept when all bytes in it are discarded, in bytes. */
const KEPT_BLOCK_BYTES = 64 * 2 ** 10

/** Bytes that were collected and not yet discarded. */
export interface ByteBuffer {
  size: () => number
  append: (piece: Buffer) => void
  /** The bytes, without a copy: valid until the next change. */
  bytes: () => Buffer
  /** Removes bytes at the front. */
  discard: (countBytes: number) => void
}

/**
 * @name createByteBuffer
 * @summary Creates an empty buffer of bytes.
 * @param options - Expected size in bytes, if known: the block becomes no larger for as many bytes.
 * @returns The buffer; its block doubles as it grows, so that each byte is copied a constant number of times.
 *
 * @example
 * const buffer = createByteBuffer()
 * buffer.append(Buffer.from('id: 1'))
 * buffer.bytes().toString() // 'id: 1'
 */
export function createByteBuffer ({ expectedBytes = Infinity }: { expectedBytes?: number } = {}): ByteBuffer {
  let block: Buffer = Buffer.alloc(0)
  let size = 0
  return {
    size: () => size,
    append (piece) {
      const neededBytes = size + piece.length
      if (neededBytes > block.length) {
        const doubledBytes = Math.max(FIRST_BLOCK_BYTES, 2 * block.length)
        const mostBytes = neededBytes <= expectedBytes ? expectedBytes : Infinity
        const larger = Buffer.allocUnsafeSlow(Math.max(neededBytes, Math.min(doubledBytes, mostBytes)))
        block.copy(larger, 0, 0, size)
        block = larger
      }
      piece.copy(block, size)
      size = neededBytes
    },
    bytes: () => block.subarray(0, size),
    discard (countBytes) {
      block.copyWithin(0, countBytes, size)
      size -= countBytes
      if (size === 0 && block.length > KEPT_BLOCK_BYTES) block = Buffer.alloc(0)
    }
  }
}
