/**
 * Hybrid logical clock (Kulkarni et al., 2014), reduced to what the time line needs.
 */
import type { HybridClock, HybridStamp } from '../types.js'

/** A foreign stamp further ahead than this is taken as a broken clock and ignored. */
const MAX_DRIFT_MS = 60_000

/**
 * @name createHybridClock
 * @summary A hybrid logical clock over a wall clock.
 * @param options - `nowMs`, the wall clock in milliseconds.
 * @returns The clock, at the present wall time.
 *
 * @example
 * const clock = createHybridClock({ nowMs: runtime.nowMs })
 * clock.observe({ wallMs: 12, counter: 3 })
 * const stamp = clock.tick()
 */
export function createHybridClock (options: { nowMs: () => number }): HybridClock {
  let last: HybridStamp = { wallMs: options.nowMs(), counter: 0 }
  return {
    tick () {
      const wallMs = options.nowMs()
      last = wallMs > last.wallMs
        ? { wallMs, counter: 0 }
        : { wallMs: last.wallMs, counter: last.counter + 1 }
      return last
    },
    observe (stamp) {
      if (stamp.wallMs > options.nowMs() + MAX_DRIFT_MS) return
      const ahead = stamp.wallMs > last.wallMs ||
        (stamp.wallMs === last.wallMs && stamp.counter > last.counter)
      if (ahead) last = { ...stamp }
    }
  }
}
