/**
 * The weight store's rate as a token bucket: each order that loads weights takes one load.
 */
import type { Runtime } from '../../runtime/types.js'

const MINUTE_MS = 60_000

/** Loads that may be started now. */
export interface LoadBudget {
  /** Takes one load where the rate allows it. */
  take: (loadsPerMinute: number) => boolean
  /** Leaves nothing: another holder may have just spent what the rate allowed. */
  empty: () => void
}

/** A full budget: up to one minute's loads may start together. */
export function createLoadBudget (options: { runtime: Runtime }): LoadBudget {
  const { runtime } = options
  let loads = Infinity
  let countedMs = runtime.monotonicMs()

  function refill (loadsPerMinute: number): void {
    const nowMs = runtime.monotonicMs()
    loads = Math.min(loadsPerMinute, loads + (nowMs - countedMs) * loadsPerMinute / MINUTE_MS)
    countedMs = nowMs
  }

  return {
    take (loadsPerMinute) {
      refill(loadsPerMinute)
      if (loads < 1) return false
      loads -= 1
      return true
    },
    empty () {
      loads = 0
      countedMs = runtime.monotonicMs()
    }
  }
}
