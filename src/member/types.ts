/**
 * Members: the daemons of one deployment as each of them sees the others.
 */

/** Role of a daemon. */
export type MemberRole = 'entry' | 'control'

/** State of a member in the eyes of another. */
export type MemberStatus = 'alive' | 'suspect' | 'leaving' | 'dead'

/** One member. `host` and `role` together identify it. */
export interface Member {
  host: string
  role: MemberRole
  /** `ip:port` of its peer port. */
  address: string
  /** Base URL of its operator port. */
  operatorUrl: string
  failureDomain: string
  /** Raised at each start and to refute a suspicion; a higher one replaces all that was known. */
  incarnation: number
  /** Raised by the member with each change of what it says of itself. */
  heartbeat: number
  status: MemberStatus
  /** Configuration revision that it has in force. */
  revisionInForce: number
}

/** Identity of a member. */
export function memberKey (member: { host: string, role: MemberRole }): string {
  return `${member.host}-${member.role}`
}

/** Prefix of the member objects in the store. */
export const MEMBER_PREFIX = 'members/'
