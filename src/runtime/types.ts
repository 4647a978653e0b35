/**
 * Clock, timers and random numbers as every other module uses them. A module that waits, measures
 * time or needs a random number takes a `Runtime`, so that tests control the time and the random
 * numbers.
 */

/** Clock, timer and random source of one process. */
export interface Runtime {
  /** Wall clock in milliseconds since the Unix epoch; may jump forwards or backwards. */
  nowMs: () => number
  /** Monotonic clock in milliseconds since an arbitrary start; used for every deadline. */
  monotonicMs: () => number
  /** Uniformly distributed random number in [0, 1). */
  random: () => number
  /**
   * Calls `run` once after `delayMs`, not before that has passed on the monotonic clock; if that is
   * late, after what has arrived was read. The returned timer does not keep the process alive and is
   * cancelled by its disposal.
   */
  setTimer: (delayMs: number, run: () => void) => Disposable
}
