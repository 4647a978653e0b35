/**
 * Hashes of the keys of a load. Hosts exchange hashes, because the ids of a few hundred engines
 * would be most of a digest. Two keys with one hash would share their load, which is harmless and
 * very unlikely.
 */
import type { EngineLoad } from '../choosePath/index.js'

/** Load by the hash of the id of a target or of the key of a link. */
export type LoadByKey = ReadonlyMap<number, EngineLoad>

/** Offset basis and prime of the 32-bit FNV-1a hash. */
const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** Most hashes that are kept; beyond it all are dropped, with those of targets that are gone. */
const MAX_KEPT_HASHES = 10_000

const hashByKey = new Map<string, number>()

/**
 * @name hashLoadKey
 * @summary Hashes the id of a target or the key of a link.
 * @param key - The id or key.
 * @returns A 32-bit number, equal on all hosts.
 *
 * @example
 * loads.get(hashLoadKey(target.id))
 */
export function hashLoadKey (key: string): number {
  const known = hashByKey.get(key)
  if (known !== undefined) return known
  const hash = hashText(key)
  if (hashByKey.size >= MAX_KEPT_HASHES) hashByKey.clear()
  hashByKey.set(key, hash)
  return hash
}

/** 32-bit FNV-1a hash of a text. */
export function hashText (text: string): number {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME) >>> 0
  return hash
}
