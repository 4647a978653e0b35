/**
 * Times in which targets want no requests from this host. A target asks for one when it turns a
 * request away. It is a statement of one instance of a target, with an end, and not a guess: unlike
 * a suspicion, it does not decay, and neither an older request that ends well nor a part of an
 * answer lifts it.
 *
 * It is meant for the load pattern in which engines shed load while requests keep coming. When a
 * pause ends, the target first gets a few requests, and the others once it has taken one of them;
 * otherwise everything that waited would go to it in the same instant.
 */
import type { EventLog } from '../../event/types.js'
import type { Target } from '../../fleet/types.js'
import type { Runtime } from '../../runtime/types.js'

/** One start of a target. */
type Instance = Pick<Target, 'id' | 'bornMs'>

/** The pauses that targets asked this host for. */
export interface TargetPauses {
  /** Records that a target turned a request away and wants none for a time, in milliseconds. */
  note: (target: Instance, pauseMs: number, details: { request: string }) => void
  /** Records that a target took a request. */
  noteTaken: (targetId: string) => void
  /** Whether the target may be sent a request now. */
  mayTake: (targetId: string) => boolean
  /** Counts a request to the target. */
  take: (targetId: string) => void
  /** Time left of a target's pause, in milliseconds; 0 without one. */
  leftMs: (targetId: string) => number
  /** Whether nothing is known of any target. */
  isEmpty: () => boolean
  /** Number of targets in a pause. */
  count: () => number
  /** Deletes the pauses of listed targets that have started again; targets that are not listed keep theirs. */
  forgetRestarted: (listed: readonly Instance[]) => void
}

interface TargetPausesOptions {
  runtime: Runtime
  log: EventLog
}

/** Longest pause that is kept, in milliseconds; a target that asks for more by mistake is asked again after it. */
const MAX_PAUSE_MS = 300_000

/** Time after which the first requests after a pause no longer hold back others, in milliseconds, if the target has not answered them. */
const TRIAL_MS = 1_000

/** Pauses that were extended by less are not logged again, in milliseconds. */
const MIN_LOGGED_EXTENSION_MS = 250

/** Requests that a target gets after a pause before it has taken one of them. */
const MAX_TRIALS = 8

interface PauseRecord {
  /** Start of the instance that asked for it. */
  bornMs: number
  /** Monotonic time of its end, in milliseconds. */
  untilMs: number
  /** Requests since its end, and the monotonic time of the last one, in milliseconds. */
  trials: number
  trialMs: number
}

/**
 * @name createTargetPauses
 * @summary Creates the pauses of one host, with none known.
 * @param options - Runtime and log.
 * @returns The pauses.
 *
 * @example
 * if (pauses.mayTake(target.id)) pauses.take(target.id)
 */
export function createTargetPauses ({ runtime, log }: TargetPausesOptions): TargetPauses {
  const records = new Map<string, PauseRecord>()

  function leftMs (targetId: string): number {
    const record = records.get(targetId)
    return record === undefined ? 0 : Math.max(0, record.untilMs - runtime.monotonicMs())
  }

  /** Deletes pauses that ended long ago and whose targets got no request since. */
  function deleteEnded (): void {
    const nowMs = runtime.monotonicMs()
    for (const [id, { untilMs }] of records) if (nowMs - untilMs > MAX_PAUSE_MS) records.delete(id)
  }

  return {
    note ({ id, bornMs }, pauseMs, { request }) {
      deleteEnded()
      const untilMs = runtime.monotonicMs() + Math.min(MAX_PAUSE_MS, pauseMs)
      const knownUntilMs = records.get(id)?.untilMs ?? -Infinity
      if (untilMs > knownUntilMs + MIN_LOGGED_EXTENSION_MS) log.emit('targetPauseRequested', { target: id, request, pauseMs, isBounded: pauseMs > MAX_PAUSE_MS })
      records.set(id, { bornMs, untilMs: Math.max(untilMs, knownUntilMs), trials: 0, trialMs: -Infinity })
    },
    noteTaken (targetId) {
      if (leftMs(targetId) === 0 && records.delete(targetId)) log.emit('targetPauseEnded', { target: targetId })
    },
    mayTake (targetId) {
      const record = records.get(targetId)
      if (record === undefined) return true
      const areTrialsOpen = record.trials >= MAX_TRIALS && runtime.monotonicMs() - record.trialMs < TRIAL_MS
      return leftMs(targetId) === 0 && !areTrialsOpen
    },
    take (targetId) {
      const record = records.get(targetId)
      if (record === undefined) return
      record.trials++
      record.trialMs = runtime.monotonicMs()
    },
    leftMs,
    isEmpty: () => records.size === 0,
    count: () => [...records.keys()].filter(id => leftMs(id) > 0).length,
    forgetRestarted (listed) {
      for (const { id, bornMs } of listed) if ((records.get(id)?.bornMs ?? bornMs) !== bornMs) records.delete(id)
    }
  }
}
