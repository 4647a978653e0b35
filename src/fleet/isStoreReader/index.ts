/**
 * Chooses the hosts that read the targets from the store for all others. Engines renew their
 * entries all the time: if each of dozens of hosts watched them, every watch would carry the same
 * changes, and the store's calls would grow with the product of hosts and engines.
 */

/** A host as described by its digest. */
export interface ReaderCandidate {
  host: string
  failureDomain: string
  /** Whether it reads the targets and the store answers it. */
  isStoreConnected: boolean
}

/** Hosts of a failure domain, the first by name, that try to read even while other domains have readers: one, and two spares in case the store refuses it. */
const CANDIDATES_PER_DOMAIN = 3

/**
 * @name isStoreReader
 * @summary Whether a host should read the targets; in each failure domain the first host, by name, that the store answers should.
 * @param own - The host.
 * @param peers - The hosts from which it receives digests.
 * @returns Whether it should read. While no reader is connected to the store, every host should.
 *
 * @example
 * isStoreReader({ host: 'entry-1', failureDomain: 'north' }, peers)
 */
export function isStoreReader (own: Omit<ReaderCandidate, 'isStoreConnected'>, peers: readonly ReaderCandidate[]): boolean {
  const earlier = peers.filter(peer => peer.host < own.host)
  const earlierInDomain = earlier.filter(peer => peer.failureDomain === own.failureDomain)
  if (earlierInDomain.some(peer => peer.isStoreConnected)) return false
  return earlierInDomain.length < CANDIDATES_PER_DOMAIN || !peers.some(peer => peer.isStoreConnected)
}
