/**
 * Whether a host may take its configuration for the newest one. A host that is cut off from the
 * store cannot know by itself whether tickets are being accepted elsewhere.
 */
import { memberKey, type Member } from '../../member/types.js'

/** What a host knows of its own connections. */
export interface FreshnessInputs {
  /** Milliseconds since the store last confirmed the configuration. */
  storeAgeMs: number
  /** Revision in force on this host. */
  revision: number
  self: Member
  /** Every member that was ever heard of, dead ones too; read only when the store is silent. */
  members: () => Member[]
}

/** The judgement, with what it rests on. */
export type Freshness =
  | { kind: 'current', confirmedBy: 'store' | 'peers' }
  | { kind: 'stale', storeAgeMs: number }

/**
 * @name checkFreshness
 * @summary Judges whether a host may serve from its configuration.
 * @description The store's word counts for `staleAfterMs`. After that a live peer at the same
 * revision does, from another failure domain where there is one: in a store-wide outage no
 * ticket can be accepted, and a peer outside the domain rules out that only this domain is cut off.
 * @param facts - What the host knows.
 * @param options - `staleAfterMs`, how long the store's word counts.
 * @returns `current` with its witness, or `stale`.
 *
 * @example
 * checkFreshness({ storeAgeMs: 60_000, revision: 7, self, members: table.all }, { staleAfterMs: 10_000 })
 */
export function checkFreshness (facts: FreshnessInputs, options: { staleAfterMs: number }): Freshness {
  if (facts.storeAgeMs < options.staleAfterMs) return { kind: 'current', confirmedBy: 'store' }
  const others = facts.members().filter(member => memberKey(member) !== memberKey(facts.self))
  const witnesses = chooseWitnesses(others, facts.self)
  const confirmed = witnesses.some(member => member.status === 'alive' && member.revisionInForce === facts.revision)
  return confirmed ? { kind: 'current', confirmedBy: 'peers' } : { kind: 'stale', storeAgeMs: facts.storeAgeMs }
}

/** Members of other failure domains and other hosts; of other hosts alone where there is one domain. */
function chooseWitnesses (others: Member[], self: Member): Member[] {
  const elsewhere = others.filter(member => member.host !== self.host)
  const outside = elsewhere.filter(member => member.failureDomain !== self.failureDomain)
  return outside.length > 0 ? outside : elsewhere
}
