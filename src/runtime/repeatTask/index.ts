/**
 * Repeats background tasks; a round that throws does not end the task.
 */
import type { EventLog } from '../../event/types.js'
import { delayToNextRound } from '../delayToNextRound/index.js'
import type { Runtime } from '../types.js'

/** How a task is repeated. */
export interface RepeatOptions {
  /** Interval of the rounds, in milliseconds. The next one starts at a multiple of it, at least half an interval after the end of the last. */
  intervalMs: number
  /** Name of the task in the log. */
  task: string
  runtime: Runtime
  log: EventLog
  signal: AbortSignal
}

/**
 * @name repeatTask
 * @summary Runs a task repeatedly until the signal aborts; errors of a round are logged.
 * @param run - One round.
 * @param options - Interval, name, runtime, log and signal.
 * @returns A promise that resolves after the last round.
 *
 * @example
 * await repeatTask(() => claim.step(), { intervalMs: 500, task: 'lease', runtime, log, signal })
 */
export function repeatTask (run: () => void | Promise<void>, options: RepeatOptions): Promise<void> {
  const { intervalMs, task, runtime, log, signal } = options
  return new Promise(resolve => {
    let timer: Disposable | undefined
    // With dozens of rounds a second, one listener for all of them costs less than a promise for each wait.
    signal.addEventListener('abort', () => {
      if (timer === undefined) return
      timer[Symbol.dispose]()
      resolve()
    }, { once: true })
    const scheduleNextRound = (): void => {
      if (signal.aborted) return resolve()
      timer = runtime.setTimer(delayToNextRound(intervalMs, runtime.monotonicMs()), startRound)
    }
    const logError = (error: unknown): void => {
      log.emit('unexpectedError', { task, cause: error instanceof Error ? error.stack : String(error) })
    }
    startRound()

    function startRound (): void {
      timer = undefined
      try {
        const result = run()
        if (result === undefined) scheduleNextRound()
        else result.catch(logError).finally(scheduleNextRound)
      } catch (error) {
        logError(error)
        scheduleNextRound()
      }
    }
  })
}
