/**
 * Which of two statements about one member replaces the other.
 */
import type { Member, MemberStatus } from '../types.js'

/** Ranks statuses of one incarnation and heartbeat: the later in life wins. */
export const RANK: Record<MemberStatus, number> = { alive: 0, suspect: 1, leaving: 2, dead: 3 }

/**
 * Whether `stated` replaces `known`. Death is final for an incarnation: only the member itself
 * returns, under a higher one.
 */
export function isNewer (stated: Member, known: Member): boolean {
  if (stated.incarnation !== known.incarnation) return stated.incarnation > known.incarnation
  if (known.status === 'dead') return false
  if (stated.status === 'dead') return true
  if (stated.heartbeat !== known.heartbeat) return stated.heartbeat > known.heartbeat
  return RANK[stated.status] > RANK[known.status]
}
