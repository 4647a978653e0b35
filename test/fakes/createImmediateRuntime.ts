/**
 * A runtime whose timers fire at once, for tests to which the length of a wait does not matter.
 */
import type { Runtime } from '../../src/runtime/types.js'
import { createManualRuntime } from './createManualRuntime.js'

/** Creates a runtime at time 0 whose timers run as microtasks, whatever their delay. */
export function createImmediateRuntime (): Runtime {
  return {
    ...createManualRuntime(),
    setTimer (_delayMs, run) {
      queueMicrotask(run)
      return { [Symbol.dispose] () {} }
    }
  }
}
