/**
 * Counts the places that preferred requests and others got lately.
 */
import type { Runtime } from '../../runtime/types.js'
import type { AssignedPlaces } from '../takeTurns/index.js'

/** Time over which places are counted, in milliseconds; about the time that callers wait. */
const WINDOW_MS = 2_000

/** Places of the window. */
export interface PlaceCounts {
  add: (isPreferred: boolean) => void
  counts: () => AssignedPlaces
}

/** Creates counts of nothing. */
export function createPlaceCounts ({ runtime }: { runtime: Runtime }): PlaceCounts {
  let places: Array<{ isPreferred: boolean, atMs: number }> = []
  return {
    add (isPreferred) {
      places.push({ isPreferred, atMs: runtime.monotonicMs() })
    },
    counts () {
      const sinceMs = runtime.monotonicMs() - WINDOW_MS
      places = places.filter(({ atMs }) => atMs > sinceMs)
      const preferred = places.filter(({ isPreferred }) => isPreferred).length
      return { preferred, others: places.length - preferred }
    }
  }
}
