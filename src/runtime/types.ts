/**
 * Time and chance as the rest of the product sees them. Every module that waits, measures or
 * draws takes a `Runtime`, so that tests decide what time it is and which numbers come up.
 */

/** Clock, timer and random source of one process. */
export interface Runtime {
  /** Wall clock in milliseconds since the Unix epoch; may step in either direction. */
  nowMs: () => number
  /** Monotonic clock in milliseconds since an arbitrary start; used for every deadline. */
  monotonicMs: () => number
  /** Uniform number in [0, 1). */
  random: () => number
  /**
   * Calls `run` once after `delayMs`. The returned timer does not keep the process alive and
   * is cancelled by its disposal.
   */
  setTimer: (delayMs: number, run: () => void) => Disposable
}
