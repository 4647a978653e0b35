/**
 * Chooses the hosts that read the store for all others. Engines renew their entries all the time:
 * if each of hundreds of hosts watched them, every watch would carry the same changes, and the
 * store's calls would grow with the product of hosts and engines. Hosts that cannot read hear of
 * changes from their neighbors in the tree of hosts.
 *
 * The roots of the tree are the candidates. Should the store refuse them all, the hosts right below
 * them try, and the first that is answered goes on. During an outage of the store the number of
 * hosts that try therefore does not grow with the fleet.
 */
import { isBefore } from '../../digest/planNeighbors/index.js'

/** A host that is connected to the store. */
export interface ConnectedReader {
  ip: string
  /** Number of hosts between it and the roots; 0 for a root. */
  depth: number
  /** Time since it said so, in milliseconds. */
  ageMs: number
}

/** Roots that read: one, and a second one whose watch may still work when that of the first is silent. */
const ROOT_READERS = 2

/** Time from its start until a root may read, and until a substitute may, in milliseconds; by then it knows its place, and which roots read. */
export const ROOT_DELAY_MS = 1_000
const SUBSTITUTE_DELAY_MS = 2_500

/** Depth of the hosts that try when the store answers no root. */
const SUBSTITUTE_DEPTH = 1

const isAhead = (one: ConnectedReader, other: Pick<ConnectedReader, 'ip' | 'depth'>): boolean =>
  (one.depth === 0) === (other.depth === 0) ? isBefore(one.ip, other.ip) : one.depth === 0

/** The reader that counts when several are connected: roots first, then by the order of the tree. */
export function firstReader (readers: readonly ConnectedReader[]): ConnectedReader | null {
  return readers.reduce<ConnectedReader | null>((first, reader) => first === null || isAhead(reader, first) ? reader : first, null)
}

/**
 * @name isStoreReader
 * @summary Whether a host should read the store for others.
 * @param own - Its address and its depth in the tree of hosts.
 * @param readers - Other hosts that are connected to the store, as far as it knows.
 * @param options - Time since its start in milliseconds, and whether it hears any other host.
 * @returns Whether it should read; a host that hears no other one should.
 *
 * @example
 * isStoreReader({ ip: '10.1.0.40', depth: 0 }, readers, { upMs: 5_000, hasNeighbors: true })
 */
export function isStoreReader (own: Pick<ConnectedReader, 'ip' | 'depth'>, readers: readonly ConnectedReader[], { upMs, hasNeighbors }: { upMs: number, hasNeighbors: boolean }): boolean {
  if (upMs < (own.depth === 0 ? ROOT_DELAY_MS : SUBSTITUTE_DELAY_MS)) return false
  if (!hasNeighbors) return true
  const ahead = readers.filter(reader => isAhead(reader, own))
  if (own.depth === 0) return ahead.length < ROOT_READERS
  return own.depth === SUBSTITUTE_DEPTH && ahead.length === 0
}
