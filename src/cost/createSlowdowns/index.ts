/**
 * Finds engines that run slower than their kind should, from the pauses between the events of the
 * streams through them. It is meant for faults in which part of the engines drop to a fraction of
 * their speed for seconds while they answer everything.
 *
 * A pause is seen of a whole path. What a path needs beyond what is known of its engines is divided
 * among them, and what it needs less is taken from them, so that the blame gathers on the engines
 * that slow paths have in common. Queues under load make all paths slower; they are judged against
 * the fastest ones.
 */
import type { Runtime } from '../../runtime/types.js'
import type { StageTime } from '../expectEventMs/index.js'

/** Slowdowns of engines, as this host sees them. */
export interface Slowdowns {
  /** Records how long a stream took, of which its engines were expected to need the given times. */
  note: (stages: readonly StageTime[], tookMs: number) => void
  /** Factor on the time that an engine is expected to need; 1 if it is not slower than others. */
  slowdownOf: (targetId: string) => number
  /** Deletes what is known of all engines except those given. */
  retain: (targetIds: ReadonlySet<string>) => void
}

/** Time in which the weight of what was seen halves, in milliseconds. */
const HALF_LIFE_MS = 1_000

/** Share of the unexplained time of one observation by which the engines' figures are corrected. */
const CORRECTION_SHARE = 0.3

/** Share of the paths that are faster than the usual one. */
const FASTER_SHARE = 0.08

/** Share by which the usual factor is moved by one observation. */
const USUAL_STEP = 0.1

/** Least factor that counts as slow: queues and prompts in between make engines of one kind differ by less. */
const MIN_SLOWDOWN = 3

/** Largest factor; a slower engine gets no work either way. */
const MAX_SLOWDOWN = 16

/** What is known of one engine. */
interface EngineRecord {
  /** Time that it needs beyond the usual, as a multiple of that, at `atMs`. */
  excess: number
  /** Monotonic time of the last observation, in milliseconds. */
  atMs: number
}

/**
 * @name createSlowdowns
 * @summary Creates the slowdowns of a host that has seen no streams yet.
 * @param options - The runtime.
 * @returns The slowdowns.
 *
 * @example
 * slowdowns.note(expectEventMs(path, model, loadOf), 140)
 * slowdowns.slowdownOf(target.id)
 */
export function createSlowdowns (options: { runtime: Pick<Runtime, 'monotonicMs'> }): Slowdowns {
  const { runtime } = options
  const records = new Map<string, EngineRecord>()
  /** Time of the faster paths as a multiple of what the model says. */
  let usualFactor = 1

  function excessOf (targetId: string, nowMs: number): number {
    const record = records.get(targetId)
    return record === undefined ? 0 : record.excess * 0.5 ** ((nowMs - record.atMs) / HALF_LIFE_MS)
  }

  return {
    note (stages, tookMs) {
      const nowMs = runtime.monotonicMs()
      const modelMs = stages.reduce((sum, { expectedMs }) => sum + expectedMs, 0)
      if (modelMs <= 0) return
      const isFaster = tookMs / modelMs < usualFactor
      usualFactor *= isFaster ? 1 - USUAL_STEP * (1 - FASTER_SHARE) : 1 + USUAL_STEP * FASTER_SHARE
      // A stream that was preempted or moved pauses for longer than any slow engine explains.
      const factor = Math.min(MAX_SLOWDOWN, tookMs / modelMs / usualFactor)
      const knownMs = stages.reduce((sum, { targetId, expectedMs }) => sum + expectedMs * (1 + excessOf(targetId, nowMs)), 0)
      const unexplainedMs = factor * modelMs - knownMs
      const squares = stages.reduce((sum, { expectedMs }) => sum + expectedMs * expectedMs, 0)
      for (const { targetId, expectedMs } of stages) {
        const excess = excessOf(targetId, nowMs) + CORRECTION_SHARE * unexplainedMs * expectedMs / squares
        records.set(targetId, { excess: Math.max(0, Math.min(MAX_SLOWDOWN - 1, excess)), atMs: nowMs })
      }
    },
    slowdownOf (targetId) {
      // Read for every engine of every choice, and most are not slow.
      const known = records.get(targetId)?.excess ?? 0
      if (1 + known < MIN_SLOWDOWN) return 1
      const slowdown = 1 + excessOf(targetId, runtime.monotonicMs())
      return slowdown < MIN_SLOWDOWN ? 1 : slowdown
    },
    retain (targetIds) {
      for (const id of records.keys()) if (!targetIds.has(id)) records.delete(id)
    }
  }
}
