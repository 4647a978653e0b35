/**
 * The system's runtime with a monotonic clock that a test can set forward, for waits that are too
 * long for a test. Timers that are already set fire as before.
 */
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import type { Runtime } from '../../src/runtime/types.js'

/** A runtime with its control. */
export interface ShiftedRuntime extends Runtime {
  /** Sets the monotonic clock forward, in milliseconds. */
  skip: (byMs: number) => void
}

/** Creates a runtime whose clock has not been set forward yet. */
export function createShiftedRuntime (): ShiftedRuntime {
  const system = createSystemRuntime()
  let skippedMs = 0
  return {
    ...system,
    monotonicMs: () => system.monotonicMs() + skippedMs,
    skip (byMs) { skippedMs += byMs }
  }
}
