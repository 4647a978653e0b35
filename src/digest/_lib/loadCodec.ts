/**
 * Binary form of a load: the number of entries, then for each the hash of its key and three
 * numbers of variable length.
 */
import type { EngineLoad } from '../../path/choosePath/index.js'
import type { LoadByKey } from '../../path/hashLoadKey/index.js'

const HASH_BYTES = 4
const COUNT_BYTES = 4
/** Size of the largest entry: the hash and three numbers of up to 53 bits. */
const MAX_ENTRY_BYTES = HASH_BYTES + 3 * 8

/** Bits of a number in each byte; the highest bit says that more follow. */
const VARINT_BITS = 7
const VARINT_BASE = 2 ** VARINT_BITS

/** Encodes a load; fractions are rounded and negative numbers become 0. */
export function encodeLoad (load: LoadByKey): Buffer {
  const bytes = Buffer.allocUnsafe(COUNT_BYTES + load.size * MAX_ENTRY_BYTES)
  let offset = bytes.writeUInt32LE(load.size, 0)
  const writeVarint = (value: number): void => {
    let rest = Math.max(0, Math.round(value))
    while (rest >= VARINT_BASE) {
      bytes[offset++] = rest % VARINT_BASE + VARINT_BASE
      rest = Math.floor(rest / VARINT_BASE)
    }
    bytes[offset++] = rest
  }
  for (const [hash, { tokenLayers, sequences, firstSequences }] of load) {
    offset = bytes.writeUInt32LE(hash, offset)
    writeVarint(tokenLayers)
    writeVarint(sequences)
    writeVarint(firstSequences)
  }
  return bytes.subarray(0, offset)
}

/** Decodes a load; `undefined` if bytes are missing or left over. */
export function decodeLoad (bytes: Buffer): LoadByKey | undefined {
  if (bytes.length < COUNT_BYTES) return undefined
  const load = new Map<number, EngineLoad>()
  const count = bytes.readUInt32LE(0)
  let offset = COUNT_BYTES
  const readVarint = (): number => {
    let value = 0
    for (let scale = 1; offset < bytes.length; scale *= VARINT_BASE) {
      const byte = bytes[offset++]!
      value += (byte % VARINT_BASE) * scale
      if (byte < VARINT_BASE) return value
    }
    return NaN
  }
  for (let entry = 0; entry < count; entry++) {
    if (offset + HASH_BYTES > bytes.length) return undefined
    const hash = bytes.readUInt32LE(offset)
    offset += HASH_BYTES
    const [tokenLayers, sequences, firstSequences] = [readVarint(), readVarint(), readVarint()]
    if (!Number.isSafeInteger(tokenLayers + sequences + firstSequences)) return undefined
    load.set(hash, { tokenLayers, sequences, firstSequences })
  }
  return offset === bytes.length ? load : undefined
}
