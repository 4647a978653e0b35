/**
 * A runtime whose timers are due at once, for code whose waits do not matter to the test.
 */
import type { Runtime } from '../../src/runtime/types.js'
import { createManualRuntime } from './createManualRuntime.js'

/** A runtime at time 0 that never waits. */
export function createImmediateRuntime (): Runtime {
  return {
    ...createManualRuntime(),
    setTimer (_delayMs, run) {
      queueMicrotask(run)
      return { [Symbol.dispose] () {} }
    }
  }
}
