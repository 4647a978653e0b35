/**
 * Decides whether a host may treat its configuration as the newest one. A host that is cut off from
 * the store cannot know by itself whether tickets are being accepted elsewhere.
 */
import { memberKey, type Member } from '../../member/types.js'

/** State of a host that the decision is based on. */
export interface FreshnessInputs {
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
 * @description A confirmation by the store is valid for `staleAfterMs`. After that, a live peer with the
 * same revision is needed, from another failure domain if there is one: while the store is down for
 * every host no ticket can be accepted, and a peer outside the domain rules out that only this domain is cut off.
 * @param inputs - State of the host.
 * @param options - `staleAfterMs`, how long a confirmation by the store is valid, in milliseconds.
 * @returns `current` with what confirmed it, or `stale`.
 *
 * @example
 * checkFreshness({ storeAgeMs: 60_000, revision: 7, self, members: table.all }, { staleAfterMs: 10_000 })
 */
export function checkFreshness (inputs: FreshnessInputs, options: { staleAfterMs: number }): Freshness {
  if (inputs.storeAgeMs < options.staleAfterMs) return { kind: 'current', confirmedBy: 'store' }
  const others = inputs.members().filter(member => memberKey(member) !== memberKey(inputs.self))
  const confirmingPeers = selectConfirmingPeers(others, inputs.self)
  const isConfirmed = confirmingPeers.some(member => member.status === 'alive' && member.revisionInForce === inputs.revision)
  return isConfirmed ? { kind: 'current', confirmedBy: 'peers' } : { kind: 'stale', storeAgeMs: inputs.storeAgeMs }
}

/** Members on other hosts in other failure domains; members on other hosts if there are none in other domains. */
function selectConfirmingPeers (others: Member[], self: Member): Member[] {
  const onOtherHosts = others.filter(member => member.host !== self.host)
  const inOtherDomains = onOtherHosts.filter(member => member.failureDomain !== self.failureDomain)
  return inOtherDomains.length > 0 ? inOtherDomains : onOtherHosts
}
