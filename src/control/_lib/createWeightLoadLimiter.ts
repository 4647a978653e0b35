/**
 * Rate limit for orders that make an engine load weights from the weight store, as a token bucket:
 * each such order takes one token.
 */
import type { Runtime } from '../../runtime/types.js'

const MINUTE_MS = 60_000

/** Limits how many weight loads are started per minute. */
export interface WeightLoadLimiter {
  /** Takes one token and returns true, or returns false when the rate allows no load now. */
  tryAcquire: (loadsPerMinute: number) => boolean
  /** Removes all tokens: the previous lease holder may have just used up the rate. */
  empty: () => void
}

/** A limiter with a full bucket: up to one minute's loads may start together. */
export function createWeightLoadLimiter (options: { runtime: Runtime }): WeightLoadLimiter {
  const { runtime } = options
  /** The first refill reduces it to the rate in force. */
  let tokens = Infinity
  let refilledAtMs = runtime.monotonicMs()

  function refill (loadsPerMinute: number): void {
    const nowMs = runtime.monotonicMs()
    tokens = Math.min(loadsPerMinute, tokens + (nowMs - refilledAtMs) * loadsPerMinute / MINUTE_MS)
    refilledAtMs = nowMs
  }

  return {
    tryAcquire (loadsPerMinute) {
      refill(loadsPerMinute)
      if (tokens < 1) return false
      tokens -= 1
      return true
    },
    empty () {
      tokens = 0
      refilledAtMs = runtime.monotonicMs()
    }
  }
}
