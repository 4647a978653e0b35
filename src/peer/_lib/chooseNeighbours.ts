/**
 * Chooses the members to which a daemon opens streams: its successor on each of several hash rings.
 * Each ring orders the members by a different hash, so that the streams form a regular graph of
 * small diameter in which each member has as many incoming streams as outgoing ones.
 */
import { createHash } from 'node:crypto'

/** Number of rings, and so of streams that a daemon opens, independent of the size of the deployment. */
export const RING_COUNT = 3

/** Size at which the cache of hashes is cleared. */
const MAX_CACHED_HASHES = 10_000

const hashCache = new Map<string, string>()

/** Position of a member on a ring, as a hexadecimal string. */
function hashOnRing (ring: number, key: string): string {
  const name = `${ring}/${key}`
  const cached = hashCache.get(name)
  if (cached !== undefined) return cached
  if (hashCache.size >= MAX_CACHED_HASHES) hashCache.clear()
  const computed = createHash('sha256').update(name).digest('hex').slice(0, 16)
  hashCache.set(name, computed)
  return computed
}

/** The successor of `self` among `others` on each ring; a member chosen on one ring is skipped on the next. */
export function chooseNeighbours (self: string, others: string[]): string[] {
  const chosen = new Set<string>()
  for (let ring = 0; ring < RING_COUNT; ring++) {
    const successor = findSuccessor(self, others.filter(key => !chosen.has(key)), ring)
    if (successor !== undefined) chosen.add(successor)
  }
  return [...chosen]
}

/** The member with the next higher hash, or the one with the lowest hash if there is none. */
function findSuccessor (self: string, others: string[], ring: number): string | undefined {
  const selfHash = hashOnRing(ring, self)
  let next: string | undefined
  let first: string | undefined
  for (const key of others) {
    const keyHash = hashOnRing(ring, key)
    if (first === undefined || keyHash < hashOnRing(ring, first)) first = key
    if (keyHash > selfHash && (next === undefined || keyHash < hashOnRing(ring, next))) next = key
  }
  return next ?? first
}
