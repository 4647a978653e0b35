/**
 * Slow start: a target that becomes usable while others already serve gets only a fraction of its
 * share at first, which grows linearly to the whole share.
 */
import type { Runtime } from '../../runtime/types.js'

/** Time until a target gets its whole share. */
const RAMP_MS = 10_000

/** Smallest fraction of its share that a target gets. */
const MIN_FRACTION = 0.1

/** Tracks since when each target has been usable. */
export interface SlowStart {
  /** Sets the targets that are usable now; if none was before, they get their whole share at once. */
  update: (usable: ReadonlySet<string>) => void
  /** Fraction of its share that a target gets now, from 0.1 to 1. */
  fraction: (target: string) => number
}

/** Creates a slow start that knows no targets. */
export function createSlowStart (options: { runtime: Runtime }): SlowStart {
  const { runtime } = options
  let sinceMs: Map<string, number> | undefined
  return {
    update (usable) {
      const startMs = sinceMs === undefined || sinceMs.size === 0 ? -Infinity : runtime.monotonicMs()
      const previous = sinceMs
      sinceMs = new Map([...usable].map(target => [target, previous?.get(target) ?? startMs]))
    },
    fraction (target) {
      const since = sinceMs?.get(target) ?? -Infinity
      return Math.min(1, Math.max(MIN_FRACTION, (runtime.monotonicMs() - since) / RAMP_MS))
    }
  }
}
