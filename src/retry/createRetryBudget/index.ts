/**
 * Retry budget that all hosts share without talking to each other. It is meant for the load
 * pattern in which many targets fail at once and every host would retry its requests: the retries
 * in a sliding window stay within a ratio of its requests plus a fixed allowance, which is divided
 * equally among the hosts.
 *
 * A request that can still be refused takes a retry only if one is left. A request whose answer has
 * begun waits for one, and retries that become available go to those that wait.
 */
import type { Runtime } from '../../runtime/types.js'

/** Size of the budget, and what it depends on. */
export interface RetryBudgetOptions {
  /** Retries allowed for each request of the window. */
  ratio: number
  /** Retries allowed in a window beyond the ratio, for all hosts together. */
  extraRetries: number
  /** Length of the sliding window, in milliseconds. */
  windowMs: number
  runtime: Runtime
  /** Number of hosts that may retry requests, including this one. */
  hostCount: () => number
}

/** This host's part of the budget, with a separate budget for each service. */
export interface RetryBudget {
  /** Counts a request, which raises the number of allowed retries. */
  countRequest: (service: string) => void
  /** Spends one retry and returns `true`, or returns `false` if none is left. */
  trySpend: (service: string) => boolean
  /**
   * Waits until a retry is left and spends it, ahead of `trySpend`. Resolves with whether it did;
   * it did not if the signal aborted first.
   */
  spendWhenLeft: (service: string, signal: AbortSignal) => Promise<boolean>
  /** Number of retries left for a service, less those that are waited for; negative if the budget shrank after they were spent. */
  left: (service: string) => number
}

/** Share of the budget that a host may spend; the rest covers hosts that were replaced within the window. */
const USABLE_SHARE = 0.6

/** Interval at which those that wait for a retry look for one, in milliseconds. */
const WAIT_INTERVAL_MS = 50

/** Number of slices into which a window is divided for counting. */
const SLICES_PER_WINDOW = 10

/** Counts of one slice of time. */
interface Slice {
  /** Number of the slice, counted from the origin of the monotonic clock. */
  index: number
  requests: number
  retries: number
}

/**
 * @name createRetryBudget
 * @summary Creates a budget of which nothing is spent.
 * @param options - Ratio, allowance, window, runtime and number of hosts.
 * @returns The budget.
 *
 * @example
 * if (budget.trySpend(service)) await retry()
 */
export function createRetryBudget (options: RetryBudgetOptions): RetryBudget {
  const { ratio, extraRetries, windowMs, runtime, hostCount } = options
  const slicesByService = new Map<string, Slice[]>()

  /** Slices of the current window, the last one of which covers the present. */
  function currentSlices (service: string): Slice[] {
    const index = Math.floor(runtime.monotonicMs() / (windowMs / SLICES_PER_WINDOW))
    const slices = (slicesByService.get(service) ?? []).filter(slice => slice.index > index - SLICES_PER_WINDOW)
    if (slices.at(-1)?.index !== index) slices.push({ index, requests: 0, retries: 0 })
    slicesByService.set(service, slices)
    return slices
  }

  /** Those that wait for a retry of a service, in order of arrival. */
  const waitersByService = new Map<string, Array<() => void>>()

  function available (service: string): number {
    const slices = currentSlices(service)
    const requests = slices.reduce((sum, slice) => sum + slice.requests, 0)
    const retries = slices.reduce((sum, slice) => sum + slice.retries, 0)
    return Math.floor(USABLE_SHARE * (ratio * requests + extraRetries / Math.max(1, hostCount())) - retries)
  }

  const left = (service: string): number => available(service) - (waitersByService.get(service)?.length ?? 0)

  function spend (service: string): void {
    currentSlices(service).at(-1)!.retries++
  }

  /** After the interval, hands available retries to those that wait, and goes on while any do. */
  function scheduleWaiters (service: string, waiters: Array<() => void>): void {
    runtime.setTimer(WAIT_INTERVAL_MS, () => {
      while (waiters.length > 0 && available(service) >= 1) {
        spend(service)
        waiters.shift()!()
      }
      if (waiters.length > 0) scheduleWaiters(service, waiters)
      else waitersByService.delete(service)
    })
  }

  return {
    countRequest (service) { currentSlices(service).at(-1)!.requests++ },
    left,
    trySpend (service) {
      if (left(service) < 1) return false
      spend(service)
      return true
    },
    spendWhenLeft (service, signal) {
      if (signal.aborted) return Promise.resolve(false)
      if (left(service) >= 1) {
        spend(service)
        return Promise.resolve(true)
      }
      let waiters = waitersByService.get(service)
      if (waiters === undefined) {
        waiters = []
        waitersByService.set(service, waiters)
        scheduleWaiters(service, waiters)
      }
      const queue = waiters
      return new Promise(resolve => {
        const take = (): void => {
          signal.removeEventListener('abort', abandon)
          resolve(true)
        }
        const abandon = (): void => {
          queue.splice(queue.indexOf(take), 1)
          resolve(false)
        }
        signal.addEventListener('abort', abandon, { once: true })
        queue.push(take)
      })
    }
  }
}
