/**
 * Which hosts read the targets from the store for all. Answers the load pattern in which engines
 * renew their entries all the time before dozens of hosts: each watch would tell each host the
 * same, and the store's calls would grow with hosts times engines.
 */

/** A host as its digest describes it. */
export interface ReaderCandidate {
  host: string
  failureDomain: string
  /** Whether it reads the targets, and the store answers. */
  isStoreConnected: boolean
}

/** Hosts of a domain, by name, that try to read even while hosts elsewhere do: the first, and two for when the store turns it away. */
const CANDIDATES_PER_DOMAIN = 3

/**
 * @name isStoreReader
 * @summary Whether a host reads the targets: the first by name of its domain for which the store answers.
 * @param own - The host.
 * @param peers - The hosts that it hears.
 * @returns Whether it reads. Without any reader whom the store answers, every host does.
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
