/**
 * Members: the daemons of one deployment, as each of them knows the others.
 */

/** Role of a daemon. */
export type MemberRole = 'entry' | 'control'

/** Status of a member as another one knows it. */
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
  /** Raised at each start and to refute a suspicion; a state with a higher incarnation replaces any other. */
  incarnation: number
  /** Raised by the member with each change of its own state. */
  heartbeat: number
  status: MemberStatus
  /** Revision of the configuration that it has in force. */
  revisionInForce: number
}

/** Key of a member, as `host-role`. */
export function memberKey (member: { host: string, role: MemberRole }): string {
  return `${member.host}-${member.role}`
}

/** Prefix of the keys of member objects in the store. */
export const MEMBER_PREFIX = 'members/'
