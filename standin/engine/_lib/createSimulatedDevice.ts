/**
 * Timing of a stand-in engine: simulates one device that computes positions one after the other.
 */
import type { Runtime } from '../../../src/runtime/types.js'

/** Speed of the device, its clock, and whether the engine is frozen. */
export interface SimulatedDeviceOptions {
  /** Positions per second. */
  tokensPerS: number
  /** Minimum duration of one step, in milliseconds. */
  stepMs: number
  runtime: Runtime
  isFrozen: () => boolean
}

/** Runs each piece of work once its computing time has passed. */
export interface SimulatedDevice {
  schedule: (positions: number, work: () => void) => void
  /** Runs the work that became due while the engine was frozen. */
  resume: () => void
}

/** Creates the simulated device of one engine. */
export function createSimulatedDevice (options: SimulatedDeviceOptions): SimulatedDevice {
  const { tokensPerS, stepMs, runtime, isFrozen } = options
  const msPerToken = 1_000 / tokensPerS
  let busyUntilMs = 0
  let deferredWork: Array<() => void> = []
  return {
    schedule (positions, work) {
      const nowMs = runtime.monotonicMs()
      busyUntilMs = Math.max(busyUntilMs, nowMs) + positions * msPerToken
      const delayMs = Math.max(busyUntilMs - nowMs, stepMs)
      runtime.setTimer(delayMs, () => isFrozen() ? deferredWork.push(work) : work())
    },
    resume () {
      const work = deferredWork
      deferredWork = []
      for (const item of work) item()
    }
  }
}
