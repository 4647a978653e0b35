/**
 * Precedence between two states of one member that arrive in any order.
 */
import type { Member, MemberStatus } from '../types.js'

/** Precedence of statuses within one incarnation and heartbeat: the higher one wins. */
export const STATUS_PRECEDENCE: Record<MemberStatus, number> = { alive: 0, suspect: 1, leaving: 2, dead: 3 }

/**
 * Whether `stated` replaces `known`. Within one incarnation `dead` is final: only the member
 * itself can return, under a higher incarnation.
 */
export function supersedes (stated: Member, known: Member): boolean {
  if (stated.incarnation !== known.incarnation) return stated.incarnation > known.incarnation
  if (known.status === 'dead') return false
  if (stated.status === 'dead') return true
  if (stated.heartbeat !== known.heartbeat) return stated.heartbeat > known.heartbeat
  return STATUS_PRECEDENCE[stated.status] > STATUS_PRECEDENCE[known.status]
}
