/**
 * One daemon's table of all members, merged from gossip and from the stored member objects. A
 * member counts as alive until one of the members that keep a stream to it suspects it; nobody
 * else has to confirm that it is alive. The suspicion spreads by gossip. Unless the member refutes
 * it in time, under a higher incarnation, it counts as dead.
 */
import type { Stream } from 'most'
import type { EventLog } from '../../event/types.js'
import type { Runtime } from '../../runtime/types.js'
import { createSubject } from '../../stream/createSubject/index.js'
import { supersedes, STATUS_PRECEDENCE } from '../_lib/supersedes.js'
import { memberKey, type Member } from '../types.js'

/** Time that a suspected member has to refute the suspicion, in milliseconds. */
export const SUSPICION_TIMEOUT_MS = 7_000

/** How long a dead member stays in the table, so that late gossip does not bring it back, in milliseconds. */
export const DEAD_RETENTION_MS = 600_000

/** A member and the sequence number of its last change in this table. */
export interface MemberChange {
  member: Member
  sequence: number
  /** The peer that reported the change, which needs no notice of it. */
  toldBy?: string
}

/** The table of members. */
export interface MemberTable {
  self: () => Member
  /** All members that are not dead, this daemon included. */
  live: () => Member[]
  /** All members, the dead included. */
  all: () => Member[]
  /** Merges members as another daemon or the store reports them. */
  merge: (members: Member[], options?: { toldBy?: string }) => void
  /** Starts a gossip round: updates this daemon's revision in force and applies the timeouts of suspected and dead members. */
  startRound: (revisionInForce: number) => void
  /** Suspects a member that is silent on its stream to this daemon; a leaving member counts as dead at once. */
  suspect: (key: string) => void
  /** Announces that this daemon is leaving. */
  leave: () => void
  /** Changes with a higher sequence number, oldest first. */
  changesAfter: (sequence: number) => MemberChange[]
  /** Incremented whenever a member's status or address changes. */
  generation: () => number
  /** Changes that peers should learn without delay: of a status or address, and refutations by this daemon. */
  urgentChanges: Stream<Member>
}

interface Entry extends MemberChange {
  /** Monotonic time at which the present status was learnt. */
  statusSinceMs: number
}

/**
 * @name createMemberTable
 * @summary Creates a table that contains only this daemon.
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
  const urgentSubject = createSubject<Member>()
  let sequence = 0
  let generation = 0

  /** Sets a member's entry and moves it to the end of the order of changes. */
  function setEntry (key: string, member: Member, toldBy?: string): void {
    const before = entries.get(key)
    sequence += 1
    const statusSinceMs = before?.member.status === member.status ? before.statusSinceMs : runtime.monotonicMs()
    entries.delete(key)
    entries.set(key, { member, sequence, statusSinceMs, ...(toldBy === undefined ? {} : { toldBy }) })
    const hasMoved = before?.member.address !== member.address
    if (before?.member.status === member.status && !hasMoved) return
    generation += 1
    urgentSubject.next(member)
  }

  const own = (): Member => entries.get(selfKey)!.member
  const updateOwn = (change: Partial<Member>): void => setEntry(selfKey, { ...own(), ...change })
  setEntry(selfKey, self)

  function mergeMember (member: Member, toldBy?: string): void {
    const key = memberKey(member)
    if (key === selfKey) return refute(member)
    const known = entries.get(key)
    if (known === undefined && member.status === 'dead') return
    if (known !== undefined && !supersedes(member, known.member)) return
    setEntry(key, member, toldBy)
    const hasJoined = known === undefined || known.member.status === 'dead'
    if (hasJoined) log.emit('memberJoined', { member: key, incarnation: member.incarnation })
    if (member.status === 'dead') log.emit('memberLost', { member: key, incarnation: member.incarnation, toldBy })
  }

  /** Raises this daemon's incarnation if others report it as suspect or dead, or with a higher incarnation from an earlier start. */
  function refute (member: Member): void {
    const isContradicted = member.incarnation > own().incarnation ||
      (member.incarnation === own().incarnation && STATUS_PRECEDENCE[member.status] > STATUS_PRECEDENCE[own().status])
    if (!isContradicted) return
    updateOwn({ incarnation: member.incarnation + 1 })
    urgentSubject.next(own())
    log.emit('memberRefuted', { member: selfKey, stated: member.status, incarnation: own().incarnation })
  }

  /** Marks a member as dead. */
  function markDead (key: string, member: Member): void {
    setEntry(key, { ...member, status: 'dead' })
    log.emit('memberLost', { member: key, incarnation: member.incarnation })
  }

  /** Applies the timeouts of a suspected or dead member. */
  function applyTimeouts (key: string, { member, statusSinceMs }: Entry): void {
    const elapsedMs = runtime.monotonicMs() - statusSinceMs
    if (member.status === 'suspect' && elapsedMs >= SUSPICION_TIMEOUT_MS) markDead(key, member)
    if (member.status !== 'dead' || elapsedMs < DEAD_RETENTION_MS) return
    entries.delete(key)
    log.emit('memberForgotten', { member: key })
  }

  return {
    self: own,
    live: () => [...entries.values()].map(entry => entry.member).filter(member => member.status !== 'dead'),
    all: () => [...entries.values()].map(entry => entry.member),
    merge: (members, { toldBy } = {}) => members.forEach(member => mergeMember(member, toldBy)),
    startRound (revisionInForce) {
      if (own().revisionInForce !== revisionInForce) updateOwn({ heartbeat: own().heartbeat + 1, revisionInForce })
      for (const [key, entry] of [...entries]) applyTimeouts(key, entry)
    },
    suspect (key) {
      const member = entries.get(key)?.member
      if (member === undefined || key === selfKey) return
      if (member.status === 'leaving') return markDead(key, member)
      if (member.status !== 'alive') return
      setEntry(key, { ...member, status: 'suspect' })
      log.emit('memberSuspected', { member: key, incarnation: member.incarnation })
    },
    leave: () => updateOwn({ status: 'leaving', heartbeat: own().heartbeat + 1 }),
    changesAfter: after => entriesAfter(entries, after),
    generation: () => generation,
    urgentChanges: urgentSubject.stream
  }
}

/** The entries are in the order of their sequence numbers, so it searches from the end, where the newest are. */
function entriesAfter (entries: Map<string, Entry>, after: number): MemberChange[] {
  const ordered = [...entries.values()]
  let start = ordered.length
  while (start > 0 && ordered[start - 1]!.sequence > after) start -= 1
  return ordered.slice(start)
}
