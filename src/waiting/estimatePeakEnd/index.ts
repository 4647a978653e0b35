/**
 * Estimates how long an excess of requests will last. It is meant for the load pattern in which
 * demand swings: a peak that passes in five seconds is not answered with a return in one. Peaks
 * are expected to last as long as earlier ones; the first is expected to go on for as long as it has lasted.
 */

/** Peaks that this host has seen. */
export interface PeakFacts {
  /** Durations of earlier peaks, in milliseconds, the latest last. */
  durationsMs: readonly number[]
  /** Time since the present one began, in milliseconds; `undefined` without one. */
  ageMs: number | undefined
}

/**
 * @name estimatePeakEnd
 * @summary Estimates the time until the present excess ends.
 * @param facts - Earlier peaks and the present one.
 * @returns The time in milliseconds; 0 without an excess.
 *
 * @example
 * estimatePeakEnd({ durationsMs: [5_000, 6_000], ageMs: 1_500 }) // => 4_000
 */
export function estimatePeakEnd ({ durationsMs, ageMs }: PeakFacts): number {
  if (ageMs === undefined) return 0
  // A peak that outlasts all earlier ones is another kind of excess.
  const longer = durationsMs.filter(durationMs => durationMs > ageMs)
  if (longer.length === 0) return ageMs
  return longer.reduce((sum, durationMs) => sum + durationMs, 0) / longer.length - ageMs
}
