/**
 * Targets as this daemon sees them: where they are and whether they may get new work.
 */
import type { Stream } from 'most'

/** Why a target gets no new work. */
export type TargetCondition = 'usable' | 'leaving' | 'suspected' | 'unlisted'

/** A target's condition as daemons tell each other, about the target at one address. */
export interface TargetNotice {
  target: string
  address: string
  state: 'leaving' | 'suspected'
  /** How much longer a suspicion lasts. */
  remainingMs: number
}

/** Look-up of targets, fed by the host list, by engines and by peers. */
export interface TargetDirectory extends TargetNotices {
  /** Address as `ip:port`, or nothing while its host is not listed. */
  address: (target: string) => string | undefined
  condition: (target: string) => TargetCondition
  /** Notes that a target is leaving; never undone while the host keeps its address. */
  markLeaving: (target: string, source: 'hostList' | 'engine' | 'peer') => void
  /** Notes that a fresh connection to a target failed. */
  markSuspected: (target: string) => void
  /** Notes that a target answered on a fresh connection. */
  markReachable: (target: string) => void
}

/** The part of a directory that gossip works with. */
export interface TargetNotices {
  /** Takes in notices of a peer. */
  applyNotices: (notices: TargetNotice[]) => void
  /** Notices learnt after a place in the order, oldest first, that are worth telling. */
  noticesAfter: (sequence: number) => Array<{ notice: TargetNotice, sequence: number }>
  /** Names of targets whose condition changed. */
  changes: Stream<string>
}
