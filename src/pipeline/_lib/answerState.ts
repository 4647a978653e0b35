/**
 * State of one answer across all its attempts.
 */
import type { TokenFrame } from '../../engine/types.js'
import type { Runtime } from '../../runtime/types.js'
import type { TargetDirectory } from '../../target/types.js'
import type { Placement } from '../../ticket/types.js'
import { NEVER_SENT } from '../../verdict/createRefusal/index.js'
import type { Verdict } from '../../verdict/types.js'
import type { LinkFaults } from '../createLinkFaults/index.js'
import type { AnswerRequest, PickStage } from '../types.js'

/** How long one answer avoids a target that failed it, in milliseconds. */
const AVOID_TARGET_MS = 2_000

/** Dependencies of the state. */
export interface AnswerStateOptions {
  directory: TargetDirectory
  linkFaults: LinkFaults
  runtime: Runtime
  onToken: (frame: TokenFrame) => void
}

/** State of one answer. */
export interface AnswerState {
  /** Tokens that the caller has. */
  given: string[]
  /** Number of the latest attempt; continues the numbering of an earlier entry. */
  attempt: number
  /** Attempts made by this entry. */
  attempts: number
  /** Whether anything of the answer may have run so far. */
  verdict: Verdict
  /** Facts about the latest failed attempt. */
  facts: Record<string, unknown>
  /** Targets that hold the KV cache of every position in `given`. */
  kept: Set<string>
  /** Targets whose stage must be opened on a new connection. */
  reconnectTargets: Set<string>
  /** Address of every target that an open request was sent to, by target name. */
  contactedAddresses: Map<string, string>
  /** Delivers a token to the caller if its position is the next one; returns whether it was. */
  deliver: (frame: TokenFrame) => boolean
  /** Avoids a target and reports it as suspected, because a new connection to it failed. */
  avoidAndSuspect: (target: string) => void
  /** Leaves a target out of the next chains of this answer only. */
  avoid: (target: string) => void
  isUsable: (target: string) => boolean
  /** Records a lost link, so that all answers prefer targets that are not at its ends. */
  noteLostLink: (link: { from: string, to: string }) => void
  /** Restricts a pick to the candidates that hold the KV cache, where there are any. */
  preferCacheHolders: (pick: PickStage) => PickStage
}

/** State of an answer before its first attempt. */
export function createAnswerState (request: AnswerRequest, options: AnswerStateOptions): AnswerState {
  const { directory, linkFaults, runtime, onToken } = options
  const avoidedUntilMs = new Map<string, number>()
  const state: AnswerState = {
    given: [...request.given],
    attempt: request.earlierAttempt,
    attempts: 0,
    verdict: request.earlierAttempt > 0 ? { kind: 'mayHaveRun' } : NEVER_SENT,
    facts: {},
    kept: new Set(request.keptTargets ?? []),
    reconnectTargets: new Set(),
    contactedAddresses: new Map(),
    deliver (frame) {
      if (frame.position !== state.given.length) return false
      state.given.push(frame.token)
      onToken(frame)
      return true
    },
    avoidAndSuspect (target) {
      state.avoid(target)
      directory.markSuspected(target)
    },
    avoid (target) {
      state.kept.delete(target)
      avoidedUntilMs.set(target, runtime.monotonicMs() + AVOID_TARGET_MS)
    },
    isUsable (target) {
      if ((avoidedUntilMs.get(target) ?? -Infinity) > runtime.monotonicMs()) return false
      const condition = directory.condition(target)
      return condition === 'usable' || (condition === 'leaving' && state.kept.has(target))
    },
    noteLostLink: linkFaults.note,
    preferCacheHolders: pick => (candidates, chosen) => {
      const cacheHolders = candidates.filter((candidate: Placement) => state.kept.has(candidate.target))
      return pick(cacheHolders.length > 0 ? cacheHolders : linkFaults.preferHealthy(candidates), chosen)
    }
  }
  return state
}
