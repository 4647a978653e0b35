/**
 * What is told about targets on one stream: each notice once, in bounded portions.
 */
import { create } from '@bufbuild/protobuf'
import type { TargetNotices } from '../../target/types.js'
import { TargetNoticeSchema, type Gossip, type TargetNotice } from '../gen/peer_pb.js'

/** Most notices in one frame. */
const NOTICES_PER_FRAME = 64

/** Both directions of one stream. */
export interface NoticeExchange {
  next: () => TargetNotice[]
  receive: (gossip: Gossip) => void
}

/** The exchange of a stream that was just opened. */
export function createNoticeExchange (directory: Pick<TargetNotices, 'applyNotices' | 'noticesAfter'>): NoticeExchange {
  let toldUpTo = 0
  return {
    next () {
      const portion = directory.noticesAfter(toldUpTo).slice(0, NOTICES_PER_FRAME)
      toldUpTo = portion.at(-1)?.sequence ?? toldUpTo
      return portion.map(({ notice }) => create(TargetNoticeSchema, notice))
    },
    receive (gossip) {
      directory.applyNotices(gossip.targetNotices.flatMap(({ target, address, state, remainingMs }) =>
        state === 'leaving' || state === 'suspected' ? [{ target, address, state, remainingMs }] : []))
    }
  }
}
