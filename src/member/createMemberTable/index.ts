/**
 * What one daemon knows of all members, merged from gossip and from the stored member objects.
 */
import type { EventLog } from '../../event/types.js'
import type { Runtime } from '../../runtime/types.js'
import { memberKey, type Member, type MemberStatus } from '../types.js'

/** Silence after which a member is suspected, and after which it is taken for dead. */
export const SUSPECT_AFTER_MS = 3_000
export const DEAD_AFTER_MS = 10_000

/** The table of members. */
export interface MemberTable {
  self: () => Member
  /** All members but the dead ones, this daemon included. */
  live: () => Member[]
  all: () => Member[]
  /** Takes in what another daemon or the store says. */
  merge: (members: Member[]) => void
  /** Starts a gossip round: raises the own heartbeat and judges the silent ones. */
  beat: (revisionInForce: number) => void
  /** Announces that this daemon is leaving. */
  leave: () => void
}

interface Entry {
  member: Member
  heardMs: number
}

/** Ranks statuses of one incarnation: the later in life wins. */
const RANK: Record<MemberStatus, number> = { alive: 0, suspect: 1, leaving: 2, dead: 3 }

/**
 * @name createMemberTable
 * @summary A table that holds only this daemon.
 * @param self - This daemon.
 * @param options - The runtime and the event log.
 * @returns The table.
 *
 * @example
 * const table = createMemberTable(self, { runtime, log })
 */
export function createMemberTable (self: Member, options: { runtime: Runtime, log: EventLog }): MemberTable {
  const { runtime, log } = options
  const selfKey = memberKey(self)
  const entries = new Map<string, Entry>([[selfKey, { member: self, heardMs: runtime.monotonicMs() }]])
  const own = (): Member => entries.get(selfKey)!.member
  const setOwn = (change: Partial<Member>): void => {
    entries.set(selfKey, { member: { ...own(), ...change }, heardMs: runtime.monotonicMs() })
  }

  function mergeOne (member: Member): void {
    const key = memberKey(member)
    if (key === selfKey) return refute(member)
    const known = entries.get(key)
    if (known !== undefined && !isNewer(member, known.member)) return
    entries.set(key, { member, heardMs: runtime.monotonicMs() })
    const returned = known === undefined || known.member.status === 'dead'
    if (returned && member.status !== 'dead') log.emit('memberJoined', { member: key, incarnation: member.incarnation })
  }

  /** Others may hold this daemon for suspect or dead, or know an older life of it. */
  function refute (member: Member): void {
    const contradicted = member.incarnation > own().incarnation ||
      (member.incarnation === own().incarnation && RANK[member.status] > RANK[own().status])
    if (contradicted) setOwn({ incarnation: member.incarnation + 1 })
  }

  function judge (key: string, entry: Entry): void {
    const silentMs = runtime.monotonicMs() - entry.heardMs
    const { member } = entry
    if (member.status === 'dead' || key === selfKey) return
    if (silentMs >= DEAD_AFTER_MS) {
      entries.set(key, { ...entry, member: { ...member, status: 'dead' } })
      log.emit('memberLost', { member: key, silentMs })
    } else if (silentMs >= SUSPECT_AFTER_MS && member.status === 'alive') {
      entries.set(key, { ...entry, member: { ...member, status: 'suspect' } })
    }
  }

  return {
    self: own,
    live: () => [...entries.values()].map(entry => entry.member).filter(member => member.status !== 'dead'),
    all: () => [...entries.values()].map(entry => entry.member),
    merge: members => members.forEach(mergeOne),
    beat (revisionInForce) {
      setOwn({ heartbeat: own().heartbeat + 1, revisionInForce })
      for (const [key, entry] of entries) judge(key, entry)
    },
    leave: () => setOwn({ status: 'leaving' })
  }
}

function isNewer (member: Member, known: Member): boolean {
  if (member.incarnation !== known.incarnation) return member.incarnation > known.incarnation
  if (member.heartbeat !== known.heartbeat) return member.heartbeat > known.heartbeat
  return RANK[member.status] > RANK[known.status]
}
