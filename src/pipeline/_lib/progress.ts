/**
 * State of one answer over all its attempts, and how each loss changes it.
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
const AVOID_MS = 2_000

/** What a progress works with. */
export interface ProgressOptions {
  directory: TargetDirectory
  linkFaults: LinkFaults
  runtime: Runtime
  onToken: (frame: TokenFrame) => void
}

/** State of one answer. */
export interface Progress {
  /** Tokens that the caller has. */
  given: string[]
  attempt: number
  attempts: number
  verdict: Verdict
  /** Facts of the latest loss. */
  facts: Record<string, unknown>
  /** Targets that hold the KV cache of every position given. */
  kept: Set<string>
  /** Targets to open on a new connection. */
  fresh: Set<string>
  /** Addresses of all targets that were sent an open. */
  touched: Map<string, string>
  /** Hands a token on if its position is the next one, and tells whether it was. */
  give: (frame: TokenFrame) => boolean
  /** Keeps a target out of the next chains, because a fresh connection to it failed. */
  blame: (target: string) => void
  /** Keeps a target out of the next chains of this answer alone. */
  avoid: (target: string) => void
  isUsable: (target: string) => boolean
  /** Keeps both ends of a link out of the next choices of all answers, where there are others. */
  noteLink: (link: { from: string, to: string }) => void
  /** Picks a stage that holds the KV cache where there is one. */
  preferKept: (pick: PickStage) => PickStage
}

/** State of an answer before its first attempt. */
export function createProgress (request: AnswerRequest, options: ProgressOptions): Progress {
  const { directory, linkFaults, runtime, onToken } = options
  const avoidedUntilMs = new Map<string, number>()
  const progress: Progress = {
    given: [...request.given],
    attempt: request.earlierAttempt,
    attempts: 0,
    verdict: request.earlierAttempt > 0 ? { kind: 'mayHaveRun' } : NEVER_SENT,
    facts: {},
    kept: new Set(request.keptTargets ?? []),
    fresh: new Set(),
    touched: new Map(),
    give (frame) {
      if (frame.position !== progress.given.length) return false
      progress.given.push(frame.token)
      onToken(frame)
      return true
    },
    blame (target) {
      progress.avoid(target)
      directory.markSuspected(target)
    },
    avoid (target) {
      progress.kept.delete(target)
      avoidedUntilMs.set(target, runtime.monotonicMs() + AVOID_MS)
    },
    isUsable (target) {
      if ((avoidedUntilMs.get(target) ?? -Infinity) > runtime.monotonicMs()) return false
      const condition = directory.condition(target)
      return condition === 'usable' || (condition === 'leaving' && progress.kept.has(target))
    },
    noteLink: linkFaults.note,
    preferKept: pick => (candidates, chosen) => {
      const holding = candidates.filter((part: Placement) => progress.kept.has(part.target))
      return pick(holding.length > 0 ? holding : linkFaults.prefer(candidates), chosen)
    }
  }
  return progress
}
