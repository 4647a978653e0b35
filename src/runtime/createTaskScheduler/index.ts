/**
 * Runs a background task only when there is something to do: each round, and each event that
 * concerns the task, sets a time by which the next round starts, and the earliest one counts.
 */
import type { EventLog } from '../../event/types.js'
import type { Runtime } from '../types.js'

/** A task and when it runs next. */
export interface TaskScheduler {
  /** Starts the next round within a time in milliseconds, unless one is due earlier. */
  runWithin: (delayMs: number) => void
}

/** Dependencies of a scheduled task. */
export interface TaskSchedulerOptions {
  /** Name of the task in the log. */
  task: string
  runtime: Runtime
  log: EventLog
  signal: AbortSignal
}

/**
 * @name createTaskScheduler
 * @summary Creates a scheduler with no round due; errors of a round are logged.
 * @param run - One round; returns the time within which the next one starts, in milliseconds.
 * @param options - Name, runtime, log and signal.
 * @returns The scheduler; it stops when the signal aborts.
 *
 * @example
 * const scheduler = createTaskScheduler(() => checkAll(), { task: 'check', runtime, log, signal })
 * fleet.onChange(() => scheduler.runWithin(25))
 */
export function createTaskScheduler (run: () => number, options: TaskSchedulerOptions): TaskScheduler {
  const { task, runtime, log, signal } = options
  let next: { atMs: number, timer: Disposable } | undefined
  /** Delay after a round that threw, in milliseconds: that of the last round that did not. */
  let lastDelayMs = 0

  function runWithin (delayMs: number): void {
    const atMs = runtime.monotonicMs() + delayMs
    if (signal.aborted || (next !== undefined && next.atMs <= atMs)) return
    next?.timer[Symbol.dispose]()
    next = { atMs, timer: runtime.setTimer(delayMs, startRound) }
    lastDelayMs = delayMs
  }

  function startRound (): void {
    next = undefined
    if (signal.aborted) return
    try {
      runWithin(run())
    } catch (error) {
      log.emit('unexpectedError', { task, cause: error instanceof Error ? error.stack : String(error) })
      runWithin(lastDelayMs)
    }
  }

  signal.addEventListener('abort', () => next?.timer[Symbol.dispose](), { once: true })
  return { runWithin }
}
