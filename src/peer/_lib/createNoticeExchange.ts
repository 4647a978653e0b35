/**
 * Sends and receives target notices on one stream. Each notice is sent once, in bounded batches.
 */
import { create } from '@bufbuild/protobuf'
import type { TargetNotices } from '../../target/types.js'
import { TargetNoticeSchema, type Gossip, type TargetNotice } from '../gen/peer_pb.js'

/** Most notices in one frame. */
const NOTICES_PER_FRAME = 64

/** Both directions of one stream. */
export interface NoticeExchange {
  /** The next batch of notices to send. */
  next: () => TargetNotice[]
  /** Passes the notices of a received frame to the target directory; drops those in a state that this version does not know. */
  receive: (gossip: Gossip) => void
}

/** The exchange of a newly opened stream: all notices are still to be sent. */
export function createNoticeExchange (directory: Pick<TargetNotices, 'applyNotices' | 'noticesAfter'>): NoticeExchange {
  let sentUpToSequence = 0
  return {
    next () {
      const batch = directory.noticesAfter(sentUpToSequence).slice(0, NOTICES_PER_FRAME)
      sentUpToSequence = batch.at(-1)?.sequence ?? sentUpToSequence
      return batch.map(({ notice }) => create(TargetNoticeSchema, notice))
    },
    receive (gossip) {
      directory.applyNotices(gossip.targetNotices.flatMap(({ target, address, state, remainingMs }) =>
        state === 'leaving' || state === 'suspected' ? [{ target, address, state, remainingMs }] : []))
    }
  }
}
