/**
 * Sends and receives member changes on one stream. Each change is sent once, in bounded batches: the
 * first time as the full member state, later as an update that refers to it by a short handle. The
 * stream is ordered and reliable, so nothing is sent twice while it is open.
 */
import { create } from '@bufbuild/protobuf'
import type { MemberTable } from '../../member/createMemberTable/index.js'
import { memberKey, type Member } from '../../member/types.js'
import { MemberUpdateSchema, type Gossip, type MemberState, type MemberUpdate } from '../gen/peer_pb.js'
import { fromMemberState, fromWireStatus, toMemberState, toWireStatus } from './convertMember.js'

/** Most member changes in one frame. */
export const MEMBERS_PER_FRAME = 64

/** The member fields of a gossip frame. */
export interface MemberGossip {
  members: MemberState[]
  updates: MemberUpdate[]
  /** Whether further changes wait for the next frame. */
  more: boolean
}

/** Both directions of one stream. */
export interface MemberExchange {
  /** The next batch of changes to send. */
  next: () => MemberGossip
  /** Merges a received frame of the given peer into the member table. */
  receive: (gossip: Gossip, peer: string) => void
}

/** The exchange of a newly opened stream: all members are still to be sent. */
export function createMemberExchange (table: MemberTable): MemberExchange {
  /** Handle and incarnation of each member sent in full, by member key. */
  const sentMembers = new Map<string, { handle: number, incarnation: number }>()
  /** Members received in full, by the peer's handle. */
  const receivedMembers = new Map<number, Member>()
  let sentUpToSequence = 0
  let nextHandle = 1
  /** Sender of the last received frame; changes learnt from it are not sent back. */
  let peerKey: string | undefined

  function createFullState (member: Member): MemberState {
    const handle = nextHandle++
    sentMembers.set(memberKey(member), { handle, incarnation: member.incarnation })
    return { ...toMemberState(member), handle }
  }

  function createUpdate (member: Member, handle: number): MemberUpdate {
    return create(MemberUpdateSchema, {
      handle, heartbeat: BigInt(member.heartbeat), status: toWireStatus(member.status), revisionInForce: BigInt(member.revisionInForce)
    })
  }

  /** The member after an update; empty if the handle or the status is unknown. */
  function applyUpdate (update: MemberUpdate): Member[] {
    const previous = receivedMembers.get(update.handle)
    const status = fromWireStatus(update.status)
    if (previous === undefined || status === undefined) return []
    return [{ ...previous, heartbeat: Number(update.heartbeat), status, revisionInForce: Number(update.revisionInForce) }]
  }

  return {
    next () {
      const changes = table.changesAfter(sentUpToSequence)
      const batch = changes.slice(0, MEMBERS_PER_FRAME)
      sentUpToSequence = batch.at(-1)?.sequence ?? sentUpToSequence
      const gossip: MemberGossip = { members: [], updates: [], more: changes.length > batch.length }
      for (const { member, toldBy } of batch) {
        if (toldBy !== undefined && toldBy === peerKey) continue
        const sent = sentMembers.get(memberKey(member))
        if (sent?.incarnation === member.incarnation) gossip.updates.push(createUpdate(member, sent.handle))
        else gossip.members.push(createFullState(member))
      }
      return gossip
    },
    receive (gossip, peer) {
      peerKey = peer
      const fullMembers = gossip.members.flatMap(state => {
        const member = fromMemberState(state)
        if (member === undefined) return []
        receivedMembers.set(state.handle, member)
        return [member]
      })
      table.merge([...fullMembers, ...gossip.updates.flatMap(applyUpdate)], { toldBy: peer })
    }
  }
}
