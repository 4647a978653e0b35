/**
 * Targets as this daemon sees them: where they are and whether they may get new work.
 */
import type { Stream } from 'most'

/** Why a target gets no new work. */
export type TargetCondition = 'usable' | 'leaving' | 'suspected' | 'unlisted'

/** Look-up of targets, fed by the host list, by engines and by peers. */
export interface TargetDirectory {
  /** Address as `ip:port`, or nothing while its host is not listed. */
  address: (target: string) => string | undefined
  condition: (target: string) => TargetCondition
  /** Notes that a target is leaving; never undone while the host keeps its entry. */
  noteLeaving: (target: string, source: 'hostList' | 'engine' | 'peer') => void
  /** Notes that a fresh connection to a target failed. */
  noteSuspected: (target: string) => void
  /** Notes that a target answered on a fresh connection. */
  noteAnswered: (target: string) => void
  /** Names of targets whose condition changed. */
  changes: Stream<string>
}
