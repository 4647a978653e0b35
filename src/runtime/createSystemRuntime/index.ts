/**
 * The runtime of a real process, on the system's clock, timers and random source. No other module
 * under src reads the clock or calls `Math.random`.
 *
 * A timer that is late lets the process read first what has arrived: a deadline that has passed while
 * the process stood still does not end a call whose answer is there.
 */
import type { Runtime } from '../types.js'

/** Lateness of a timer from which the process counts as having stood still, in milliseconds. */
const LATE_MS = 20

/**
 * @name createSystemRuntime
 * @summary Runtime over the clock and timers of this process.
 * @returns A runtime whose timers do not keep the process alive.
 *
 * @example
 * const runtime = createSystemRuntime()
 * const startedMs = runtime.monotonicMs()
 */
export function createSystemRuntime (): Runtime {
  const monotonic = performance
  return {
    nowMs: Date.now,
    monotonicMs: () => monotonic.now(),
    random: Math.random,
    setTimer (delayMs, run) {
      const dueMs = monotonic.now() + delayMs
      let immediate: NodeJS.Immediate | undefined
      const timer = setTimeout(() => {
        // The event loop runs timers before it reads what has arrived while the process stood still.
        if (monotonic.now() - dueMs < LATE_MS) run()
        else immediate = setImmediate(run)
      }, delayMs)
      timer.unref()
      return {
        [Symbol.dispose] () {
          clearTimeout(timer)
          clearImmediate(immediate)
        }
      }
    }
  }
}
