/**
 * The system's runtime with its time running faster, for parts that wait for seconds.
 */
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import type { Runtime } from '../../src/runtime/types.js'

/** A runtime whose clocks and timers run `factor` times as fast. */
export function createScaledRuntime (factor: number): Runtime {
  const system = createSystemRuntime()
  return {
    ...system,
    monotonicMs: () => system.monotonicMs() * factor,
    setTimer: (delayMs, run) => system.setTimer(delayMs / factor, run)
  }
}
