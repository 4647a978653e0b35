/**
 * Converts members to and from their protobuf messages.
 */
import { create } from '@bufbuild/protobuf'
import type { Member, MemberRole, MemberStatus } from '../../member/types.js'
import { MemberStateSchema, MemberStatus as WireStatus, type MemberState } from '../gen/peer_pb.js'

const TO_WIRE: Record<MemberStatus, WireStatus> = {
  alive: WireStatus.ALIVE,
  suspect: WireStatus.SUSPECT,
  leaving: WireStatus.LEAVING,
  dead: WireStatus.DEAD
}

const FROM_WIRE = new Map<WireStatus, MemberStatus>(
  Object.entries(TO_WIRE).map(([status, wire]) => [wire, status as MemberStatus])
)

/** The protobuf enum value of a status. */
export function toWireStatus (status: MemberStatus): WireStatus {
  return TO_WIRE[status]
}

/** The status of a protobuf enum value; undefined if this version does not know it. */
export function fromWireStatus (status: WireStatus): MemberStatus | undefined {
  return FROM_WIRE.get(status)
}

/** The protobuf message of a member. */
export function toMemberState (member: Member): MemberState {
  return create(MemberStateSchema, {
    ...member,
    incarnation: BigInt(member.incarnation),
    heartbeat: BigInt(member.heartbeat),
    status: TO_WIRE[member.status],
    revisionInForce: BigInt(member.revisionInForce)
  })
}

/** The member of a protobuf message; undefined if this version does not know its role or status. */
export function fromMemberState (state: MemberState): Member | undefined {
  const status = FROM_WIRE.get(state.status)
  const isKnownRole = state.role === 'entry' || state.role === 'control'
  if (status === undefined || !isKnownRole) return undefined
  return {
    host: state.host,
    role: state.role as MemberRole,
    address: state.address,
    operatorUrl: state.operatorUrl,
    failureDomain: state.failureDomain,
    incarnation: Number(state.incarnation),
    heartbeat: Number(state.heartbeat),
    status,
    revisionInForce: Number(state.revisionInForce)
  }
}
