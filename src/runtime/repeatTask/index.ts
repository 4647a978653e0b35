/**
 * Background tasks that go on whatever one of their rounds throws.
 */
import type { EventLog } from '../../event/types.js'
import { sleep } from '../sleep/index.js'
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
export async function repeatTask (run: () => void | Promise<void>, options: RepeatOptions): Promise<void> {
  const { intervalMs, task, runtime, log, signal } = options
  while (!signal.aborted) {
    try {
      await run()
    } catch (error) {
      log.emit('unexpectedError', { task, cause: error instanceof Error ? error.stack : String(error) })
    }
    await sleep(intervalMs, { runtime, signal })
  }
}
