/**
 * Failure detector for targets, fed by the results of this host's own requests and by the
 * suspicions of its peers. It is meant for the case in which a target is dead, fails part of its
 * requests (gray failure) or is slow long before the platform reports it. Resets, refused
 * connections and failed answers raise the suspicion of a target, answers lower it, and it decays
 * with time so that the target is tried again with little work.
 */
import type { Runtime } from '../../runtime/types.js'

/**
 * What a host observed of a target. `lostAnswer` is an answer that broke off, `failedAnswer` one
 * with an error status, `refused` a request that the target declined without running it, and
 * `progressed` a part of an answer that passed through the target.
 */
export type Observation = 'unreachable' | 'lostAnswer' | 'failedAnswer' | 'refused' | 'answered' | 'progressed'

/** A target that a host considers down, as sent to its peers. */
export interface SharedSuspicion {
  targetId: string
  /** Time since the observation, in milliseconds. */
  ageMs: number
  /** Remaining time without work for the target, in milliseconds. */
  leftMs: number
  /** Whether other targets should load the layers that it holds. */
  isUnfit: boolean
}

/** Suspicions of one host, with those that its peers sent. */
export interface Suspicions {
  /** Records an observation of this host. */
  note: (targetId: string, observation: Observation) => void
  /** Whether the target must get no work at all. */
  isDown: (targetId: string) => boolean
  /** Whether the target is down because it was unreachable or refused repeatedly, so that another target should load its layers. */
  isUnfit: (targetId: string) => boolean
  /** Whether this host itself found it unfit; peers may only have been refused. */
  isFoundUnfit: (targetId: string) => boolean
  /** Whether work passed through the target within the last `withinMs` milliseconds. */
  hasProgressed: (targetId: string, withinMs: number) => boolean
  /** Factor by which to multiply the expected time of the target; 1 if neither a failure nor a slowdown is known, infinite while it is down. */
  slownessOf: (targetId: string) => number
  /** Suspicions that rest on this host's own observations, to send to peers. */
  share: () => SharedSuspicion[]
  /** Applies a peer's suspicion, unless work passed through the target after the peer's observation. */
  applyPeerSuspicion: (suspicion: SharedSuspicion) => void
  /** Deletes the records of all targets except those given. */
  retain: (targetIds: ReadonlySet<string>) => void
}

/** Time without work for an unreachable target, in milliseconds; about as long as the platform takes to notice a dead target. */
const UNREACHABLE_DOWN_MS = 2_500

/** Time without work for a target after a refusal, in milliseconds; doubled with each further refusal in a row, up to `UNREACHABLE_DOWN_MS`. */
const REFUSED_DOWN_MS = 250

/** Refusals in a row after which a target counts as unfit, as when it is leaving and the store is not available to say so. */
const UNFIT_REFUSALS = 3

/** Half-life of the failure rate of a target, in milliseconds; a gray failure lasts several seconds. */
const FAILURE_HALF_LIFE_MS = 2_000

/** Weight of one result in the failure rate, which is an exponential moving average. */
const RESULT_WEIGHT = 0.2

/** Increase of the slowness factor for a target all of whose requests fail. */
const MAX_ADDED_SLOWNESS = 20

/** How much each observation counts as a failure, from 0 to 1. */
const FAILURE_BY_OBSERVATION: Record<Observation, number> = { unreachable: 1, lostAnswer: 1, failedAnswer: 0.7, refused: 0.5, answered: 0, progressed: 0 }

/** What is known of a target; all times are monotonic, in milliseconds. */
interface TargetRecord {
  downUntilMs: number
  /** When this host itself last observed it to be down; `undefined` if only peers did, as their suspicions are not passed on. */
  observedDownMs: number | undefined
  /** Refusals since work last passed through it; an unreachable target gets the number that makes it unfit. */
  refusals: number
  /** Whether a peer reported it as unfit. */
  isUnfitByPeer: boolean
  /** Moving average of failures at `updatedMs`, from 0 to 1. */
  failureRate: number
  /** When the failure rate was last computed. */
  updatedMs: number
  /** When work last passed through it. */
  progressedMs: number
}

/**
 * @name createSuspicions
 * @summary Creates the suspicions of one host, with no observations yet.
 * @param options - The runtime, and the factor by which each target is slower than its kind; 1 by default.
 * @returns The suspicions.
 *
 * @example
 * suspicions.note(target.id, 'unreachable')
 */
export function createSuspicions (options: { runtime: Runtime, slowdownOf?: (targetId: string) => number }): Suspicions {
  const { runtime, slowdownOf = () => 1 } = options
  const records = new Map<string, TargetRecord>()

  function getOrCreateRecord (targetId: string): TargetRecord {
    const known = records.get(targetId)
    if (known !== undefined) return known
    const record = { downUntilMs: -Infinity, observedDownMs: undefined, refusals: 0, isUnfitByPeer: false, failureRate: 0, updatedMs: runtime.monotonicMs(), progressedMs: -Infinity }
    records.set(targetId, record)
    return record
  }

  function decayedFailureRate (record: TargetRecord): number {
    if (record.failureRate === 0) return 0
    const elapsedMs = runtime.monotonicMs() - record.updatedMs
    return record.failureRate * 0.5 ** (elapsedMs / FAILURE_HALF_LIFE_MS)
  }

  /** Asked for every engine in each choice of a path, so the clock is read only for those that were ever down. */
  function isDown (targetId: string): boolean {
    const downUntilMs = records.get(targetId)?.downUntilMs ?? -Infinity
    return downUntilMs !== -Infinity && downUntilMs > runtime.monotonicMs()
  }

  const isFoundUnfit = (targetId: string): boolean => isDown(targetId) && records.get(targetId)!.refusals >= UNFIT_REFUSALS

  const isUnfit = (targetId: string): boolean => isFoundUnfit(targetId) || (isDown(targetId) && records.get(targetId)!.isUnfitByPeer)

  return {
    note (targetId, observation) {
      const record = getOrCreateRecord(targetId)
      const nowMs = runtime.monotonicMs()
      if (observation === 'progressed') {
        record.progressedMs = nowMs
        record.refusals = 0
        record.isUnfitByPeer = false
        return
      }
      const rate = decayedFailureRate(record)
      record.failureRate = rate + RESULT_WEIGHT * (FAILURE_BY_OBSERVATION[observation] - rate)
      record.updatedMs = nowMs
      if (observation === 'unreachable') {
        record.downUntilMs = nowMs + UNREACHABLE_DOWN_MS
        record.observedDownMs = nowMs
        record.refusals = UNFIT_REFUSALS
      }
      if (observation === 'refused') {
        record.downUntilMs = Math.max(record.downUntilMs, nowMs + Math.min(UNREACHABLE_DOWN_MS, REFUSED_DOWN_MS * 2 ** record.refusals))
        record.observedDownMs = nowMs
        record.refusals++
      }
      if (observation === 'answered') {
        record.downUntilMs = -Infinity
        record.observedDownMs = undefined
        record.refusals = 0
        record.isUnfitByPeer = false
      }
    },
    isDown,
    isUnfit,
    isFoundUnfit,
    hasProgressed: (targetId, withinMs) => runtime.monotonicMs() - (records.get(targetId)?.progressedMs ?? -Infinity) < withinMs,
    slownessOf (targetId) {
      if (isDown(targetId)) return Infinity
      const record = records.get(targetId)
      return slowdownOf(targetId) * (record === undefined ? 1 : 1 + MAX_ADDED_SLOWNESS * decayedFailureRate(record) ** 2)
    },
    share () {
      const nowMs = runtime.monotonicMs()
      return [...records]
        .filter(([, record]) => record.observedDownMs !== undefined && record.downUntilMs > nowMs)
        .map(([targetId, record]) => ({
          targetId, ageMs: Math.round(nowMs - record.observedDownMs!), leftMs: Math.round(record.downUntilMs - nowMs), isUnfit: record.refusals >= UNFIT_REFUSALS
        }))
    },
    applyPeerSuspicion (suspicion) {
      const record = getOrCreateRecord(suspicion.targetId)
      const nowMs = runtime.monotonicMs()
      if (record.progressedMs > nowMs - suspicion.ageMs) return
      record.downUntilMs = Math.max(record.downUntilMs, nowMs + suspicion.leftMs)
      record.isUnfitByPeer = suspicion.isUnfit
    },
    retain (targetIds) {
      for (const id of records.keys()) if (!targetIds.has(id)) records.delete(id)
    }
  }
}
