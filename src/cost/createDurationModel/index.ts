/**
 * Learns how long targets work on the requests of a route. The time of a stream grows with its
 * output, so it is learned for each token; a plain call counts as one unit.
 */
import type { Runtime } from '../../runtime/types.js'
import { addValue, createMoments, weightAt, type Moments } from '../_lib/moments.js'

/** What was learned of the durations of answers. */
export interface DurationModel {
  /** Learns from a whole answer of so many units, and the time from sending the request to its end, in milliseconds. */
  note: (route: string, units: number, tookMs: number) => void
  /** Mean time of an answer of so many units, in milliseconds; `undefined` while too few were seen lately. */
  expectMs: (route: string, units: number) => number | undefined
}

/** Answers of a route that are needed for a mean; older ones count less. */
const MIN_ANSWERS = 4

/** Routes that are remembered, those with the latest answers. */
const MAX_ROUTES = 512

/**
 * @name createDurationModel
 * @summary Creates a model that has learned nothing yet.
 * @param options - The runtime.
 * @returns The model.
 *
 * @example
 * durations.note('drafts', 120, 2_400)
 * durations.expectMs('drafts', 300)
 */
export function createDurationModel ({ runtime }: { runtime: Pick<Runtime, 'monotonicMs'> }): DurationModel {
  /** Milliseconds a unit, in the order in which the routes last learned. */
  const paces = new Map<string, Moments>()
  return {
    note (route, units, tookMs) {
      const pace = paces.get(route) ?? createMoments()
      addValue(pace, tookMs / Math.max(1, units), runtime.monotonicMs())
      paces.delete(route)
      paces.set(route, pace)
      if (paces.size > MAX_ROUTES) paces.delete(paces.keys().next().value!)
    },
    expectMs (route, units) {
      const pace = paces.get(route)
      return pace === undefined || weightAt(pace, runtime.monotonicMs()) < MIN_ANSWERS ? undefined : pace.mean * Math.max(1, units)
    }
  }
}
