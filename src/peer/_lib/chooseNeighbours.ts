/**
 * Which members a daemon keeps streams to: its successor on each of several rings. Each ring
 * orders the members by another hash, so that the streams form a regular graph of small
 * diameter in which every member is dialled by exactly as many others as it dials.
 */
import { createHash } from 'node:crypto'

/** Rings, and so streams that a daemon opens, whatever the size of the deployment. */
export const RING_COUNT = 3

/** Hashes kept before the cache is emptied. */
const KEPT_HASHES = 10_000

const hashes = new Map<string, string>()

function hash (ring: number, key: string): string {
  const name = `${ring}/${key}`
  const kept = hashes.get(name)
  if (kept !== undefined) return kept
  if (hashes.size >= KEPT_HASHES) hashes.clear()
  const fresh = createHash('sha256').update(name).digest('hex').slice(0, 16)
  hashes.set(name, fresh)
  return fresh
}

/** Successors of `self` among `others` on each ring, without repeats. */
export function chooseNeighbours (self: string, others: string[]): string[] {
  const chosen = new Set<string>()
  for (let ring = 0; ring < RING_COUNT; ring++) {
    const successor = findSuccessor(self, others.filter(key => !chosen.has(key)), ring)
    if (successor !== undefined) chosen.add(successor)
  }
  return [...chosen]
}

function findSuccessor (self: string, others: string[], ring: number): string | undefined {
  const from = hash(ring, self)
  let next: string | undefined
  let first: string | undefined
  for (const key of others) {
    const at = hash(ring, key)
    if (first === undefined || at < hash(ring, first)) first = key
    if (at > from && (next === undefined || at < hash(ring, next))) next = key
  }
  return next ?? first
}
