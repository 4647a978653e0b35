/**
 * Notices that the event loop of this process did not run for a while: the process stood still, or
 * one of its turns took long. What arrived meanwhile was read late.
 */
import type { EventLog } from '../../event/types.js'
import { delayToNextRound } from '../delayToNextRound/index.js'
import { repeatTask } from '../repeatTask/index.js'
import type { Runtime } from '../types.js'

/** Interval of the timer whose lateness is measured, in milliseconds; the same as that of other tasks, with which it wakes. */
const CHECK_INTERVAL_MS = 250

/** Lateness that gets a line in the log, in milliseconds. */
const STALL_MS = 250

/** Lateness from which on the process may have stood still, in milliseconds; a busy turn of the event loop takes less. */
const NOTICED_STALL_MS = 50

/** What a watch knows of the event loop. */
export interface StallWatch {
  /** Latest monotonic time at which the event loop is known to have run, in milliseconds: now, unless the check is overdue. A signal that is handled now may have waited since then. */
  lastTurnMs: () => number
}

interface StallWatchOptions {
  runtime: Runtime
  log: EventLog
  signal: AbortSignal
  /** Called each time with how late the timer was, in milliseconds. */
  onDelay: (lateMs: number) => void
}

/**
 * @name watchStalls
 * @summary Measures how late timers run until the signal aborts, and logs each stall.
 * @param options - Runtime, log, signal, and where the measured delays go.
 * @returns The watch.
 *
 * @example
 * watchStalls({ runtime, log, signal, onDelay: lateMs => histogram.observe(lateMs / 1_000) })
 */
export function watchStalls ({ runtime, log, signal, onDelay }: StallWatchOptions): StallWatch {
  let lastMs = runtime.monotonicMs()
  let dueMs = lastMs
  repeatTask(() => {
    const nowMs = runtime.monotonicMs()
    const lateMs = Math.max(0, nowMs - dueMs)
    lastMs = nowMs
    dueMs = nowMs + delayToNextRound(CHECK_INTERVAL_MS, nowMs)
    onDelay(lateMs)
    if (lateMs >= STALL_MS) log.emit('hostStalled', { lateMs: Math.round(lateMs) })
  }, { intervalMs: CHECK_INTERVAL_MS, task: 'stalls', runtime, log, signal })
  return {
    lastTurnMs () {
      const nowMs = runtime.monotonicMs()
      return nowMs - dueMs >= NOTICED_STALL_MS ? lastMs : nowMs
    }
  }
}
