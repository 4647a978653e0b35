/**
 * Plans when a refused caller returns. It is meant for the load pattern in which every refused
 * caller would come back into the same peak: returns begin when the excess is expected to be over
 * and are spread, in the order of the refusals, over a part of the places that become free.
 */

/** What is known when a caller is refused. */
export interface ReturnFacts {
  /** Time that the caller has left, in milliseconds; it honors a return up to a third of it. */
  leftMs: number
  /** Time until the present excess is expected to end, in milliseconds. */
  peakLeftMs: number
  /** Time until a request at the end of the queue gets a place, in milliseconds. */
  expectedWaitMs: number
  /** Rate at which places become free, at all hosts. */
  placesPerS: number
  /** Number of hosts that hand out returns. */
  hostCount: number
  /** Time until the latest return that this host has handed out, in milliseconds; negative once it has passed. */
  lastReturnMs: number
  /** Random number in [0, 1). */
  random: number
}

/** When a caller returns. */
export interface ReturnPlan {
  retryAfterMs: number
  /** Whether the return is a slot of its own; if not, no room is foreseen within the time that the caller would wait. */
  isSlot: boolean
}

/** Shortest return, in milliseconds; a caller that comes back earlier counts as new. */
export const MIN_RETURN_MS = 1_000

/** Part of the places that become free that returning callers get; the rest is for those that can still be in time. */
export const RETURN_SHARE = 0.25

/** Part of its time left for which a caller honors a return. */
const HONORED_SHARE = 1 / 3

/** Last part of the honored time over which callers without a slot are spread. */
const UNPLANNED_SPREAD = 0.4

/** Milliseconds in a second. */
const MS_PER_S = 1_000

/**
 * @name planReturn
 * @summary Plans when a refused caller returns.
 * @param facts - The caller's time, the excess, and the returns handed out before.
 * @returns The delay, never beyond what the caller honors, and whether it is a slot.
 *
 * @example
 * planReturn({ leftMs: 19_000, peakLeftMs: 4_000, expectedWaitMs: 800, placesPerS: 120, hostCount: 30, lastReturnMs: -1, random: 0 }).retryAfterMs // => 4_000
 */
export function planReturn ({ leftMs, peakLeftMs, expectedWaitMs, placesPerS, hostCount, lastReturnMs, random }: ReturnFacts): ReturnPlan {
  const latestMs = Math.max(0, leftMs) * HONORED_SHARE
  const spacingMs = hostCount * MS_PER_S / (RETURN_SHARE * placesPerS)
  const earliestMs = Math.max(MIN_RETURN_MS, peakLeftMs, Number.isFinite(expectedWaitMs) ? expectedWaitMs : 0)
  const slotMs = Math.max(earliestMs, lastReturnMs + spacingMs)
  if (slotMs <= latestMs) return { retryAfterMs: Math.round(slotMs), isSlot: true }
  const spreadMs = UNPLANNED_SPREAD * latestMs
  return { retryAfterMs: Math.round(Math.max(Math.min(MIN_RETURN_MS, latestMs), latestMs - spreadMs * random)), isSlot: false }
}
