/**
 * Targets as one daemon knows them: their addresses and whether they may get new work.
 */
import type { Stream } from 'most'

/** Whether a target may get new work (`usable`), and if not, why; `unlisted` means that its host is not on the host list. */
export type TargetCondition = 'usable' | 'leaving' | 'suspected' | 'unlisted'

/** A target's condition as daemons report it to each other; it applies only to the target at this address. */
export interface TargetNotice {
  target: string
  address: string
  state: 'leaving' | 'suspected'
  /** How much longer a suspicion lasts, in milliseconds; 0 for a leaving target. */
  remainingMs: number
}

/** Addresses and conditions of targets, from the host list, engines and peers. */
export interface TargetDirectory extends TargetNotices {
  /** Address as `ip:port`, or `undefined` while its host is not listed. */
  address: (target: string) => string | undefined
  condition: (target: string) => TargetCondition
  /** Marks a target as leaving; this holds for as long as its host keeps its address. */
  markLeaving: (target: string, source: 'hostList' | 'engine' | 'peer') => void
  /** Suspects a target, after a new connection to it failed. */
  markSuspected: (target: string) => void
  /** Ends the suspicion of a target, after it answered on a new connection. */
  markReachable: (target: string) => void
}

/** The part of a directory that is exchanged by gossip. */
export interface TargetNotices {
  /** Applies notices from a peer. */
  applyNotices: (notices: TargetNotice[]) => void
  /** Notices in force with a higher sequence number, oldest first. */
  noticesAfter: (sequence: number) => Array<{ notice: TargetNotice, sequence: number }>
  /** Emits a target's name when it becomes leaving, suspected or reachable; the expiry of a suspicion is not reported. */
  changes: Stream<string>
}
