/**
 * The runtime of a real process, on the system's clock, timers and random source. No other module
 * under src reads the clock or calls `Math.random`.
 *
 * A timer of Node.js can fire up to a millisecond early by the monotonic clock; those of a runtime do
 * not, as what is due is found by that clock. A timer that is late lets the process read first what
 * has arrived: a deadline that has passed while the process stood still does not end a call whose
 * answer is there.
 */
import type { Runtime } from '../types.js'

/** Lateness of a timer from which the process counts as having stood still, in milliseconds. */
const LATE_MS = 20

/** Longest time that `setTimeout` takes, in milliseconds; it runs longer ones at once. */
const MAX_TIMEOUT_MS = 2 ** 31 - 1

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
      let timer: NodeJS.Timeout
      const arm = (leftMs: number): void => {
        timer = setTimeout(fire, Math.min(leftMs, MAX_TIMEOUT_MS))
        timer.unref()
      }
      const fire = (): void => {
        const lateMs = monotonic.now() - dueMs
        if (lateMs < 0) return arm(Math.ceil(-lateMs))
        // The event loop runs timers before it reads what has arrived while the process stood still.
        if (lateMs < LATE_MS) run()
        else immediate = setImmediate(run)
      }
      arm(delayMs)
      return {
        [Symbol.dispose] () {
          clearTimeout(timer)
          clearImmediate(immediate)
        }
      }
    }
  }
}
