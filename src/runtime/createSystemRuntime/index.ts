/**
 * The one place where the product touches the system's clock, timers and random source.
 */
import type { Runtime } from '../types.js'

/**
 * @name createSystemRuntime
 * @summary Runtime over the clock and timers of this process.
 * @returns A runtime whose timers are unreferenced.
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
