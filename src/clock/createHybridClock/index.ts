/**
 * Hybrid logical clock (Kulkarni et al., 2014), reduced to what the command `timeline` needs.
 */
import type { HybridClock, HybridTimestamp } from '../types.js'

/** A timestamp of another process that is further ahead than this is ignored as the sign of a broken clock. */
const MAX_DRIFT_MS = 60_000

/**
 * @name createHybridClock
 * @summary Creates a hybrid logical clock on top of a wall clock.
 * @param options - `nowMs`, the wall clock in milliseconds.
 * @returns The clock, set to the current wall time.
 *
 * @example
 * const clock = createHybridClock({ nowMs: runtime.nowMs })
 * clock.observe({ wallMs: 12, counter: 3 })
 * const timestamp = clock.tick()
 */
export function createHybridClock (options: { nowMs: () => number }): HybridClock {
  let last: HybridTimestamp = { wallMs: options.nowMs(), counter: 0 }
  return {
    tick () {
      const wallMs = options.nowMs()
      last = wallMs > last.wallMs
        ? { wallMs, counter: 0 }
        : { wallMs: last.wallMs, counter: last.counter + 1 }
      return last
    },
    observe (timestamp) {
      if (timestamp.wallMs > options.nowMs() + MAX_DRIFT_MS) return
      const isAhead = timestamp.wallMs > last.wallMs ||
        (timestamp.wallMs === last.wallMs && timestamp.counter > last.counter)
      if (isAhead) last = { ...timestamp }
    }
  }
}
