/**
 * Bounds the volume of a log. Answers the load pattern in which one kind of event comes with
 * every request of a flood: each event has a share of lines a second of its own, and what goes
 * beyond it is counted.
 */
import type { Runtime } from '../../runtime/types.js'
import type { EventName } from '../catalogue.js'

/** Decides which events are written. */
export interface EventLimiter {
  /** Whether one more event of this name may be written now. */
  admits: (name: EventName) => boolean
  /** Events dropped in windows that have ended, by name; forgets them. */
  takeDropped: () => Record<string, number> | undefined
}

/** Length of a window, in milliseconds. */
const WINDOW_MS = 1_000

/**
 * @name createEventLimiter
 * @summary A limiter with a full share for every event.
 * @param options - Lines of one event in a second, and the runtime.
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

  function roll (): boolean {
    const isOver = runtime.monotonicMs() - windowStartMs >= WINDOW_MS
    if (!isOver) return false
    windowStartMs = runtime.monotonicMs()
    for (const [name, count] of counts) if (count > linesPerS) dropped.set(name, (dropped.get(name) ?? 0) + count - linesPerS)
    counts = new Map()
    return true
  }

  return {
    admits (name) {
      roll()
      const count = (counts.get(name) ?? 0) + 1
      counts.set(name, count)
      return count <= linesPerS
    },
    takeDropped () {
      roll()
      if (dropped.size === 0) return undefined
      const taken = Object.fromEntries(dropped)
      dropped.clear()
      return taken
    }
  }
}
