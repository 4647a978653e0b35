/**
 * Shutdown by signal: the first one drains, a second one or the deadline cuts the drain short.
 */
import type { EventEmitter } from 'node:events'
import type { Runtime } from '../../runtime/types.js'

/** Signals that ask for a shutdown. */
const SHUTDOWN_SIGNALS = ['SIGTERM', 'SIGINT'] as const

/** What a shutdown works with. */
export interface DrainOnSignalOptions {
  runtime: Runtime
  deadlineMs: number
  /** The process, as far as it tells of signals. */
  signals: EventEmitter
}

/** Waits for the first signal, then drains; `true` when nothing was cut short. */
export async function drainOnSignal (
  daemon: { drain: (options: { signal: AbortSignal }) => Promise<void> },
  options: DrainOnSignalOptions
): Promise<boolean> {
  const { runtime, deadlineMs, signals } = options
  const cut = new AbortController()
  let count = 0
  let begin = (): void => {}
  const asked = new Promise<void>(resolve => { begin = resolve })
  const onSignal = (): void => {
    count += 1
    if (count > 1) cut.abort()
    begin()
  }
  for (const name of SHUTDOWN_SIGNALS) signals.on(name, onSignal)
  await asked
  const timer = runtime.setTimer(deadlineMs, () => cut.abort())
  await daemon.drain({ signal: cut.signal })
  timer[Symbol.dispose]()
  return !cut.signal.aborted
}
