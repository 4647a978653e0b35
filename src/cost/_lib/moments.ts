/**
 * Mean and variance of values that arrive over time, with less weight for older ones.
 */

/** Time in which the weight of what was seen halves, in milliseconds. */
const HALF_LIFE_MS = 60_000

/** Largest weight, in values; a lasting change shows after about as many. */
const MAX_WEIGHT = 64

/** Moments of a series of values. */
export interface Moments {
  /** Number of values that they rest on, at `atMs`. */
  weight: number
  mean: number
  variance: number
  /** Monotonic time of the last value, in milliseconds. */
  atMs: number
}

/** Moments without any values. */
export function createMoments (): Moments {
  return { weight: 0, mean: 0, variance: 0, atMs: 0 }
}

/** Weight at a time. */
export function weightAt ({ weight, atMs }: Moments, nowMs: number): number {
  return weight * 0.5 ** ((nowMs - atMs) / HALF_LIFE_MS)
}

/** Adds a value. */
export function addValue (moments: Moments, value: number, nowMs: number): void {
  const before = Math.min(MAX_WEIGHT - 1, weightAt(moments, nowMs))
  const weight = before + 1
  const distance = value - moments.mean
  moments.mean += distance / weight
  moments.variance = (moments.variance * before + distance * (value - moments.mean)) / weight
  moments.weight = weight
  moments.atMs = nowMs
}
