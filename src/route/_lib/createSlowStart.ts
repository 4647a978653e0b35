/**
 * Slow start: a target that becomes usable while others already serve gets a part of its share
 * that grows with time.
 */
import type { Runtime } from '../../runtime/types.js'

/** Time until a target has its whole share. */
const RAMP_MS = 10_000

/** Part of its share that it begins with. */
const FIRST_PART = 0.1

/** Keeps the time since which each target is usable. */
export interface SlowStart {
  /** Takes in the targets that are usable now; those of the first call start in full. */
  update: (usable: ReadonlySet<string>) => void
  /** Part of its share that a target gets now. */
  part: (target: string) => number
}

/** An empty slow start. */
export function createSlowStart (options: { runtime: Runtime }): SlowStart {
  const { runtime } = options
  let sinceMs: Map<string, number> | undefined
  return {
    update (usable) {
      const startMs = sinceMs === undefined || sinceMs.size === 0 ? -Infinity : runtime.monotonicMs()
      const before = sinceMs
      sinceMs = new Map([...usable].map(target => [target, before?.get(target) ?? startMs]))
    },
    part (target) {
      const since = sinceMs?.get(target) ?? -Infinity
      return Math.min(1, Math.max(FIRST_PART, (runtime.monotonicMs() - since) / RAMP_MS))
    }
  }
}
