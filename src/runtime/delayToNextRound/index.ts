/**
 * Aligns the rounds of periodic tasks, so that tasks of a process with the same interval run in
 * one wake-up instead of one each.
 */

/**
 * @name delayToNextRound
 * @summary Time until the next multiple of an interval that is at least half an interval away.
 * @param intervalMs - Interval between the rounds, in milliseconds.
 * @param nowMs - Monotonic time, in milliseconds.
 * @returns The delay in whole milliseconds, rounded up.
 *
 * @example
 * delayToNextRound(100, 1_230) // 70
 */
export function delayToNextRound (intervalMs: number, nowMs: number): number {
  const round = Math.ceil(nowMs / intervalMs + 0.5)
  return Math.ceil(round * intervalMs - nowMs)
}
