/**
 * Background tasks that go on whatever one of their rounds throws.
 */
import type { EventLog } from '../../event/types.js'
import type { Runtime } from '../types.js'

/** How a task is repeated. */
export interface RepeatOptions {
  /** Wait between the end of one round and the start of the next, in milliseconds. */
  intervalMs: number
  /** Name of the task in the log. */
  task: string
  runtime: Runtime
  log: EventLog
  signal: AbortSignal
}

/**
 * @name repeatTask
 * @summary Runs a task again and again until the signal aborts; failures are logged.
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
    // Dozens of rounds a second: one listener for all of them costs less than a promise for each wait.
    signal.addEventListener('abort', () => {
      if (timer === undefined) return
      timer[Symbol.dispose]()
      resolve()
    }, { once: true })
    const wait = (): void => {
      if (signal.aborted) return resolve()
      timer = runtime.setTimer(intervalMs, startRound)
    }
    const fail = (error: unknown): void => {
      log.emit('unexpectedError', { task, cause: error instanceof Error ? error.stack : String(error) })
    }
    startRound()

    function startRound (): void {
      timer = undefined
      try {
        const round = run()
        if (round === undefined) wait()
        else round.catch(fail).finally(wait)
      } catch (error) {
        fail(error)
        wait()
      }
    }
  })
}
