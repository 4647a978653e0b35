/**
 * The budget of repeats that all hosts share. Answers the load pattern in which many targets
 * fail at once and every host would send its requests again: repeats stay within a ratio of the
 * requests of the last window, and each host spends its part of the fixed allowance only.
 */
import type { Runtime } from '../../runtime/types.js'

/** Bounds of the budget. */
export interface RetryBudgetOptions {
  /** Repeats allowed for each request of the window. */
  ratio: number
  /** Repeats allowed beyond the ratio, all hosts together. */
  extraRetries: number
  windowMs: number
  runtime: Runtime
  /** Hosts that may be spending, this one included. */
  hostCount: () => number
}

/** The part of the budget that this host spends, by service. */
export interface RetryBudget {
  countRequest: (service: string) => void
  /** Takes one repeat, or says that there is none left. */
  trySpend: (service: string) => boolean
  /** Repeats left for a service. */
  left: (service: string) => number
}

/** Part of the budget that is spent; the rest covers hosts that were replaced within the window. */
const SPENT_SHARE = 0.6

/** Slices in which a window is counted. */
const SLICES = 10

interface Slice {
  index: number
  requests: number
  repeats: number
}

/**
 * @name createRetryBudget
 * @summary A budget with nothing spent.
 * @param options - Ratio, allowance, window, runtime and number of hosts.
 * @returns The budget.
 *
 * @example
 * if (budget.take(service)) await sendAgain()
 */
export function createRetryBudget (options: RetryBudgetOptions): RetryBudget {
  const { ratio, extraRetries, windowMs, runtime, hostCount } = options
  const slicesByService = new Map<string, Slice[]>()

  function current (service: string): Slice[] {
    const index = Math.floor(runtime.monotonicMs() / (windowMs / SLICES))
    const slices = (slicesByService.get(service) ?? []).filter(slice => slice.index > index - SLICES)
    if (slices.at(-1)?.index !== index) slices.push({ index, requests: 0, repeats: 0 })
    slicesByService.set(service, slices)
    return slices
  }

  function left (service: string): number {
    const slices = current(service)
    const requests = slices.reduce((sum, slice) => sum + slice.requests, 0)
    const repeats = slices.reduce((sum, slice) => sum + slice.repeats, 0)
    return Math.floor(SPENT_SHARE * (ratio * requests + extraRetries / Math.max(1, hostCount())) - repeats)
  }

  return {
    countRequest (service) { current(service).at(-1)!.requests++ },
    left,
    trySpend (service) {
      if (left(service) < 1) return false
      current(service).at(-1)!.repeats++
      return true
    }
  }
}
