/**
 * Selects the control daemons that compete for the lease. Only a few do, so that the number of
 * lease reads by daemons that wait for it does not grow with the deployment.
 */
import { memberKey, type Member } from '../../member/types.js'

/** Most control daemons that compete for the lease. */
export const MAX_LEASE_CANDIDATES = 5

/** Whether a control daemon is among the first live ones in order of member key, with leaving members last. */
export function isLeaseCandidate (self: Member, live: Member[]): boolean {
  const sortKey = (member: Member): string => `${member.status === 'leaving' ? 1 : 0}${memberKey(member)}`
  const sortKeys = live.filter(member => member.role === 'control').map(sortKey).sort()
  return sortKeys.indexOf(sortKey(self)) < MAX_LEASE_CANDIDATES
}
