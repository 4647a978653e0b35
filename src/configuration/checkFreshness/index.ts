/**
 * Whether a host may treat its configuration as the newest one. A host that is cut off from the
 * store cannot know by itself whether tickets are being accepted elsewhere.
 */
import { memberKey, type Member } from '../../member/types.js'

/** State of a host that the decision is based on. */
export interface FreshnessFacts {
  /** Milliseconds since the store last confirmed the configuration. */
  storeAgeMs: number
  /** Revision in force on this host. */
  revision: number
  /** The member that is checked. */
  self: Member
  /** All members known so far, dead ones included; called only if the store has not confirmed lately. */
  members: () => Member[]
}

/** Whether the configuration counts as the newest one, and what confirmed it. */
export type Freshness =
  | { kind: 'current', confirmedBy: 'store' | 'peers' }
  | { kind: 'stale', storeAgeMs: number }

/**
 * @name checkFreshness
 * @summary Decides whether a host may serve requests from its configuration.
 * @description A confirmation by the store is valid for `staleAfterMs`. After that a live peer at the same
 * revision is needed, from another failure domain where there is one: in a store-wide outage no
 * ticket can be accepted, and a peer outside the domain rules out that only this domain is cut off.
 * @param facts - State of the host.
 * @param options - `staleAfterMs`, how long a confirmation by the store is valid, in milliseconds.
 * @returns `current` with what confirmed it, or `stale`.
 *
 * @example
 * checkFreshness({ storeAgeMs: 60_000, revision: 7, self, members: table.all }, { staleAfterMs: 10_000 })
 */
export function checkFreshness (facts: FreshnessFacts, options: { staleAfterMs: number }): Freshness {
  if (facts.storeAgeMs < options.staleAfterMs) return { kind: 'current', confirmedBy: 'store' }
  const others = facts.members().filter(member => memberKey(member) !== memberKey(facts.self))
  const confirmingPeers = selectConfirmingPeers(others, facts.self)
  const isConfirmed = confirmingPeers.some(member => member.status === 'alive' && member.revisionInForce === facts.revision)
  return isConfirmed ? { kind: 'current', confirmedBy: 'peers' } : { kind: 'stale', storeAgeMs: facts.storeAgeMs }
}

/** Members of other failure domains and other hosts; of other hosts alone where there is one domain. */
function selectConfirmingPeers (others: Member[], self: Member): Member[] {
  const onOtherHosts = others.filter(member => member.host !== self.host)
  const inOtherDomains = onOtherHosts.filter(member => member.failureDomain !== self.failureDomain)
  return inOtherDomains.length > 0 ? inOtherDomains : onOtherHosts
}
