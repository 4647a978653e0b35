/**
 * The pace of a stand-in engine: one device that computes position after position.
 */
import type { Runtime } from '../../../src/runtime/types.js'

/** How fast an engine is, and whether it stands still. */
export interface SimulatedDeviceOptions {
  /** Positions a second. */
  tokensPerS: number
  /** Least time of one step, in milliseconds. */
  stepMs: number
  runtime: Runtime
  isFrozen: () => boolean
}

/** Runs work when the engine has had the time for it. */
export interface SimulatedDevice {
  schedule: (positions: number, work: () => void) => void
  /** Runs the work that fell due while the engine was frozen. */
  resume: () => void
}

/** The pace of one engine. */
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
