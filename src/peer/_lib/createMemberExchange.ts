/**
 * What is told about members on one stream: each change once, in bounded portions, whole the
 * first time and by a short handle after that. The stream is ordered and reliable, so what was
 * sent on it needs no repetition while it lasts.
 */
import { create } from '@bufbuild/protobuf'
import type { MemberTable } from '../../member/createMemberTable/index.js'
import { memberKey, type Member } from '../../member/types.js'
import { MemberUpdateSchema, type Gossip, type MemberState, type MemberUpdate } from '../gen/peer_pb.js'
import { fromMemberState, fromWireStatus, toMemberState, toWireStatus } from './convertMember.js'

/** Most members told of in one frame. */
export const MEMBERS_PER_FRAME = 64

/** The part of a gossip frame that is about members. */
export interface MemberNews {
  members: MemberState[]
  updates: MemberUpdate[]
  /** Whether more waits for the next frame. */
  more: boolean
}

/** Both directions of one stream. */
export interface MemberExchange {
  next: () => MemberNews
  receive: (gossip: Gossip, peer: string) => void
}

/** The exchange of a stream that was just opened: everything is still to be told. */
export function createMemberExchange (table: MemberTable): MemberExchange {
  const told = new Map<string, { handle: number, incarnation: number }>()
  const heard = new Map<number, Member>()
  let toldUpTo = 0
  let nextHandle = 1
  let peerKey: string | undefined

  function stateWhole (member: Member): MemberState {
    const handle = nextHandle++
    told.set(memberKey(member), { handle, incarnation: member.incarnation })
    return { ...toMemberState(member), handle }
  }

  function stateUpdate (member: Member, handle: number): MemberUpdate {
    return create(MemberUpdateSchema, {
      handle, heartbeat: BigInt(member.heartbeat), status: toWireStatus(member.status), revisionInForce: BigInt(member.revisionInForce)
    })
  }

  function hearUpdate (update: MemberUpdate): Member[] {
    const before = heard.get(update.handle)
    const status = fromWireStatus(update.status)
    if (before === undefined || status === undefined) return []
    return [{ ...before, heartbeat: Number(update.heartbeat), status, revisionInForce: Number(update.revisionInForce) }]
  }

  return {
    next () {
      const changes = table.changesAfter(toldUpTo)
      const portion = changes.slice(0, MEMBERS_PER_FRAME)
      toldUpTo = portion.at(-1)?.sequence ?? toldUpTo
      const news: MemberNews = { members: [], updates: [], more: changes.length > portion.length }
      for (const { member, toldBy } of portion) {
        if (toldBy !== undefined && toldBy === peerKey) continue
        const known = told.get(memberKey(member))
        if (known?.incarnation === member.incarnation) news.updates.push(stateUpdate(member, known.handle))
        else news.members.push(stateWhole(member))
      }
      return news
    },
    receive (gossip, peer) {
      peerKey = peer
      const whole = gossip.members.flatMap(state => {
        const member = fromMemberState(state)
        if (member === undefined) return []
        heard.set(state.handle, member)
        return [member]
      })
      table.merge([...whole, ...gossip.updates.flatMap(hearUpdate)], { toldBy: peer })
    }
  }
}
