/**
 * Which targets are not to be trusted with work for now. Answers the load pattern in which a
 * target is dead, grey or slow long before the platform says so: resets, refused connections
 * and failed answers raise a suspicion, answers lower it, and time lets a target be tried again
 * with little work.
 */
import type { Runtime } from '../../runtime/types.js'

/** What a host saw of a target. */
export type Finding = 'unreachable' | 'lostAnswer' | 'failedAnswer' | 'refused' | 'answered' | 'progressed'

/** A target held to be down, as hosts tell each other. */
export interface SharedSuspicion {
  targetId: string
  /** Time since the finding, in milliseconds. */
  ageMs: number
  /** How much longer the target gets no work, in milliseconds. */
  leftMs: number
  /** Whether it is unfit for the layers that it holds, so that others should load them. */
  isUnfit: boolean
}

/** Suspicions of one host and its peers. */
export interface Suspicions {
  note: (targetId: string, finding: Finding) => void
  /** Whether the target must get no work at all. */
  isDown: (targetId: string) => boolean
  /** Whether the target is dead or keeps refusing, so that its layers need another holder. */
  isUnfit: (targetId: string) => boolean
  /** Whether work went through the target within a time, in milliseconds. */
  hasProgressed: (targetId: string, withinMs: number) => boolean
  /** Factor on the target's expected time; infinite while it is down. */
  slownessOf: (targetId: string) => number
  /** Findings of this host to tell to peers. */
  share: () => SharedSuspicion[]
  /** Takes over a peer's finding. */
  applyPeerSuspicion: (suspicion: SharedSuspicion) => void
  /** Forgets targets that are no longer listed. */
  retain: (targetIds: ReadonlySet<string>) => void
}

/** How long an unreachable target gets no work; about the time in which the platform notices a dead target. */
const DOWN_MS = 2_500

/** How long a target gets no work after it refused some; doubled with each further refusal in a row. */
const REFUSED_MS = 250

/** Refusals in a row after which a target counts as unfit, as when it leaves and the store cannot say so. */
const UNFIT_REFUSALS = 3

/** Half-life of the share of failures, in milliseconds; a grey period lasts several seconds. */
const FAILURE_HALF_LIFE_MS = 2_000

/** Weight of one result in the share of failures. */
const RESULT_WEIGHT = 0.2

/** Factor on the expected time of a target all of whose answers fail. */
const FAILURE_SLOWNESS = 20

/** How much each finding counts as a failure. */
const FAILURE_BY_FINDING: Record<Finding, number> = { unreachable: 1, lostAnswer: 1, failedAnswer: 0.7, refused: 0.5, answered: 0, progressed: 0 }

interface TargetRecord {
  downUntilMs: number
  /** When this host itself found it down; peers' findings are not passed on. */
  foundDownMs: number | undefined
  /** Refusals since work last went through it. */
  refusals: number
  /** Whether a peer holds it to be unfit. */
  isUnfitToPeer: boolean
  failureShare: number
  updatedMs: number
  /** When work last went through it. */
  progressedMs: number
}

/**
 * @name createSuspicions
 * @summary Suspicions of a host that has seen nothing yet.
 * @param options - The runtime.
 * @returns The suspicions.
 *
 * @example
 * suspicions.note(target.id, 'unreachable')
 */
export function createSuspicions (options: { runtime: Runtime }): Suspicions {
  const { runtime } = options
  const records = new Map<string, TargetRecord>()

  function open (targetId: string): TargetRecord {
    const known = records.get(targetId)
    if (known !== undefined) return known
    const record = { downUntilMs: -Infinity, foundDownMs: undefined, refusals: 0, isUnfitToPeer: false, failureShare: 0, updatedMs: runtime.monotonicMs(), progressedMs: -Infinity }
    records.set(targetId, record)
    return record
  }

  function decayedShare (record: TargetRecord): number {
    const elapsedMs = runtime.monotonicMs() - record.updatedMs
    return record.failureShare * 0.5 ** (elapsedMs / FAILURE_HALF_LIFE_MS)
  }

  const isDown = (targetId: string): boolean => (records.get(targetId)?.downUntilMs ?? -Infinity) > runtime.monotonicMs()

  function isUnfit (targetId: string): boolean {
    const record = records.get(targetId)
    return record !== undefined && isDown(targetId) && (record.refusals >= UNFIT_REFUSALS || record.isUnfitToPeer)
  }

  return {
    note (targetId, finding) {
      const record = open(targetId)
      const nowMs = runtime.monotonicMs()
      if (finding === 'progressed') {
        record.progressedMs = nowMs
        record.refusals = 0
        return
      }
      const share = decayedShare(record)
      record.failureShare = share + RESULT_WEIGHT * (FAILURE_BY_FINDING[finding] - share)
      record.updatedMs = nowMs
      if (finding === 'unreachable') {
        record.downUntilMs = nowMs + DOWN_MS
        record.foundDownMs = nowMs
        record.refusals = UNFIT_REFUSALS
      }
      if (finding === 'refused') {
        record.downUntilMs = Math.max(record.downUntilMs, nowMs + Math.min(DOWN_MS, REFUSED_MS * 2 ** record.refusals))
        record.foundDownMs = nowMs
        record.refusals++
      }
      if (finding === 'answered') {
        record.downUntilMs = -Infinity
        record.foundDownMs = undefined
        record.refusals = 0
        record.isUnfitToPeer = false
      }
    },
    isDown,
    isUnfit,
    hasProgressed: (targetId, withinMs) => runtime.monotonicMs() - (records.get(targetId)?.progressedMs ?? -Infinity) < withinMs,
    slownessOf (targetId) {
      if (isDown(targetId)) return Infinity
      const record = records.get(targetId)
      return record === undefined ? 1 : 1 + FAILURE_SLOWNESS * decayedShare(record) ** 2
    },
    share () {
      const nowMs = runtime.monotonicMs()
      return [...records]
        .filter(([, record]) => record.foundDownMs !== undefined && record.downUntilMs > nowMs)
        .map(([targetId, record]) => ({
          targetId, ageMs: Math.round(nowMs - record.foundDownMs!), leftMs: Math.round(record.downUntilMs - nowMs), isUnfit: record.refusals >= UNFIT_REFUSALS
        }))
    },
    applyPeerSuspicion (suspicion) {
      const record = open(suspicion.targetId)
      const nowMs = runtime.monotonicMs()
      if (record.progressedMs > nowMs - suspicion.ageMs) return
      record.downUntilMs = Math.max(record.downUntilMs, nowMs + suspicion.leftMs)
      record.isUnfitToPeer = suspicion.isUnfit
    },
    retain (targetIds) {
      for (const id of records.keys()) if (!targetIds.has(id)) records.delete(id)
    }
  }
}
