/**
 * Which control daemons stand for the lease: a few, so that the reads of those that wait do not
 * grow with the deployment.
 */
import { memberKey, type Member } from '../../member/types.js'

/** Control daemons that stand for the lease. */
export const LEASE_CANDIDATES = 5

/** Whether a control daemon is among the first live ones by name, leaving ones last. */
export function isLeaseCandidate (self: Member, live: Member[]): boolean {
  const rank = (member: Member): string => `${member.status === 'leaving' ? 1 : 0}${memberKey(member)}`
  const controls = live.filter(member => member.role === 'control').map(rank).sort()
  return controls.indexOf(rank(self)) < LEASE_CANDIDATES
}
