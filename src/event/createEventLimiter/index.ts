/**
 * Limits the rate of log lines. Each event name has its own number of lines a second, so that an
 * event logged for every request of an overload does not crowd out the others. Events above the
 * limit are dropped and counted.
 */
import type { Runtime } from '../../runtime/types.js'
import type { EventName } from '../catalogue.js'

/** Decides which events are written. */
export interface EventLimiter {
  /** Counts one event of this name; true when it may be written. */
  admits: (name: EventName) => boolean
  /** Returns the number of dropped events by name for the windows that have ended, and resets it. */
  takeDropped: () => Record<string, number> | undefined
}

/** Length of a counting window, in milliseconds. */
const WINDOW_MS = 1_000

/**
 * @name createEventLimiter
 * @summary A limiter that has counted no event yet.
 * @param options - Lines a second allowed for each event name, and the runtime.
 * @returns The limiter.
 *
 * @example
 * const limiter = createEventLimiter({ linesPerS: 200, runtime })
 * if (limiter.admits('gatewayRefused')) write()
 */
export function createEventLimiter (options: { linesPerS: number, runtime: Runtime }): EventLimiter {
  const { linesPerS, runtime } = options
  let windowStartMs = runtime.monotonicMs()
  let counts = new Map<EventName, number>()
  const dropped = new Map<EventName, number>()

  /** Starts a new window when the current one is over; returns whether it did. */
  function rollWindow (): boolean {
    const isOver = runtime.monotonicMs() - windowStartMs >= WINDOW_MS
    if (!isOver) return false
    windowStartMs = runtime.monotonicMs()
    for (const [name, count] of counts) if (count > linesPerS) dropped.set(name, (dropped.get(name) ?? 0) + count - linesPerS)
    counts = new Map()
    return true
  }

  return {
    admits (name) {
      rollWindow()
      const count = (counts.get(name) ?? 0) + 1
      counts.set(name, count)
      return count <= linesPerS
    },
    takeDropped () {
      rollWindow()
      if (dropped.size === 0) return undefined
      const taken = Object.fromEntries(dropped)
      dropped.clear()
      return taken
    }
  }
}
