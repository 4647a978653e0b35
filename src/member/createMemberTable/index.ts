/**
 * What one daemon knows of all members, merged from gossip and from the stored member objects.
 * Members vouch for nobody: a member counts as alive until one of those that keep a stream to it
 * suspects it. The suspicion travels; the member refutes it under a higher incarnation, or is
 * taken for dead.
 */
import type { Stream } from 'most'
import type { EventLog } from '../../event/types.js'
import type { Runtime } from '../../runtime/types.js'
import { createSubject } from '../../stream/createSubject/index.js'
import { isNewer, RANK } from '../_lib/isNewer.js'
import { memberKey, type Member } from '../types.js'

/** Time that a suspected member has to refute. */
export const REFUTE_WITHIN_MS = 7_000

/** How long a dead member is remembered, so that late statements do not bring it back. */
export const FORGET_AFTER_MS = 600_000

/** One entry with its place in the order of this daemon's changes. */
export interface MemberChange {
  member: Member
  sequence: number
  /** The peer that told of it, which need not be told again. */
  toldBy?: string
}

/** The table of members. */
export interface MemberTable {
  self: () => Member
  /** All members but the dead ones, this daemon included. */
  live: () => Member[]
  all: () => Member[]
  /** Takes in what another daemon or the store says. */
  merge: (members: Member[], options?: { toldBy?: string }) => void
  /** Starts a gossip round: states the revision in force and ends what has run out. */
  startRound: (revisionInForce: number) => void
  /** Notes that this daemon no longer hears a member that it keeps a stream to. */
  suspect: (key: string) => void
  /** Announces that this daemon is leaving. */
  leave: () => void
  /** Changes after a place in the order, oldest first. */
  changesAfter: (sequence: number) => MemberChange[]
  /** Raised whenever the set of live members changes. */
  generation: () => number
  /** Changes of status, which peers should learn without delay. */
  urgentChanges: Stream<Member>
}

interface Entry extends MemberChange {
  /** When the present status was learnt. */
  sinceMs: number
}

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
  const entries = new Map<string, Entry>()
  const urgent = createSubject<Member>()
  let sequence = 0
  let generation = 0

  /** Puts an entry last in the order of changes. */
  function put (key: string, member: Member, toldBy?: string): void {
    const before = entries.get(key)
    sequence += 1
    const sinceMs = before?.member.status === member.status ? before.sinceMs : runtime.monotonicMs()
    entries.delete(key)
    entries.set(key, { member, sequence, sinceMs, ...(toldBy === undefined ? {} : { toldBy }) })
    const moved = before?.member.address !== member.address
    if (before?.member.status === member.status && !moved) return
    generation += 1
    urgent.next(member)
  }

  const own = (): Member => entries.get(selfKey)!.member
  const setOwn = (change: Partial<Member>): void => put(selfKey, { ...own(), ...change })
  put(selfKey, self)

  function mergeOne (member: Member, toldBy?: string): void {
    const key = memberKey(member)
    if (key === selfKey) return refute(member)
    const known = entries.get(key)
    if (known === undefined && member.status === 'dead') return
    if (known !== undefined && !isNewer(member, known.member)) return
    put(key, member, toldBy)
    const returned = known === undefined || known.member.status === 'dead'
    if (returned) log.emit('memberJoined', { member: key, incarnation: member.incarnation })
    if (member.status === 'dead') log.emit('memberLost', { member: key, incarnation: member.incarnation, toldBy })
  }

  /** Others may hold this daemon for suspect or dead, or know an older life of it. */
  function refute (member: Member): void {
    const contradicted = member.incarnation > own().incarnation ||
      (member.incarnation === own().incarnation && RANK[member.status] > RANK[own().status])
    if (!contradicted) return
    setOwn({ incarnation: member.incarnation + 1 })
    urgent.next(own())
    log.emit('memberRefuted', { member: selfKey, stated: member.status, incarnation: own().incarnation })
  }

  function bury (key: string, member: Member): void {
    put(key, { ...member, status: 'dead' })
    log.emit('memberLost', { member: key, incarnation: member.incarnation })
  }

  function judge (key: string, { member, sinceMs }: Entry): void {
    const forMs = runtime.monotonicMs() - sinceMs
    if (member.status === 'suspect' && forMs >= REFUTE_WITHIN_MS) bury(key, member)
    if (member.status !== 'dead' || forMs < FORGET_AFTER_MS) return
    entries.delete(key)
    log.emit('memberForgotten', { member: key })
  }

  return {
    self: own,
    live: () => [...entries.values()].map(entry => entry.member).filter(member => member.status !== 'dead'),
    all: () => [...entries.values()].map(entry => entry.member),
    merge: (members, { toldBy } = {}) => members.forEach(member => mergeOne(member, toldBy)),
    startRound (revisionInForce) {
      if (own().revisionInForce !== revisionInForce) setOwn({ heartbeat: own().heartbeat + 1, revisionInForce })
      for (const [key, entry] of [...entries]) judge(key, entry)
    },
    suspect (key) {
      const member = entries.get(key)?.member
      if (member === undefined || key === selfKey) return
      if (member.status === 'leaving') return bury(key, member)
      if (member.status !== 'alive') return
      put(key, { ...member, status: 'suspect' })
      log.emit('memberSuspected', { member: key, incarnation: member.incarnation })
    },
    leave: () => setOwn({ status: 'leaving', heartbeat: own().heartbeat + 1 }),
    changesAfter: after => takeAfter(entries, after),
    generation: () => generation,
    urgentChanges: urgent.stream
  }
}

/** Entries stand in the order of their sequence, so the newest are read from the end. */
function takeAfter (entries: Map<string, Entry>, after: number): MemberChange[] {
  const ordered = [...entries.values()]
  let at = ordered.length
  while (at > 0 && ordered[at - 1]!.sequence > after) at -= 1
  return ordered.slice(at)
}
