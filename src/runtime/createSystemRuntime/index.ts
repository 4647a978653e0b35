/**
 * The runtime of a real process, on the system's clock, timers and random source. No other module
 * under src reads the clock or calls `Math.random`.
 */
import type { Runtime } from '../types.js'

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
      const timer = setTimeout(run, delayMs)
      timer.unref()
      return { [Symbol.dispose]: () => clearTimeout(timer) }
    }
  }
}
