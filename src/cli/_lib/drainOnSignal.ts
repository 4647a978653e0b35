/**
 * Shutdown by signal: the first signal starts the drain; a second one or the deadline ends it early.
 */
import type { EventEmitter } from 'node:events'
import type { Runtime } from '../../runtime/types.js'

/** Signals that request a shutdown. */
const SHUTDOWN_SIGNALS = ['SIGTERM', 'SIGINT'] as const

/** Options of `drainOnSignal`. */
export interface DrainOnSignalOptions {
  runtime: Runtime
  deadlineMs: number
  /** Longest duration of the drain, in milliseconds. */
  /** Emitter of the signals: `process`, or a fake in tests. */
  signals: EventEmitter
}

/** Waits for the first signal, then drains the daemon; returns whether the drain ran to its end. */
export async function drainOnSignal (
  daemon: { drain: (options: { signal: AbortSignal }) => Promise<void> },
  options: DrainOnSignalOptions
): Promise<boolean> {
  const { runtime, deadlineMs, signals } = options
  const cutShort = new AbortController()
  let signalCount = 0
  let resolveRequested = (): void => {}
  const shutdownRequested = new Promise<void>(resolve => { resolveRequested = resolve })
  const onSignal = (): void => {
    signalCount += 1
    if (signalCount > 1) cutShort.abort()
    resolveRequested()
  }
  for (const name of SHUTDOWN_SIGNALS) signals.on(name, onSignal)
  await shutdownRequested
  const timer = runtime.setTimer(deadlineMs, () => cutShort.abort())
  await daemon.drain({ signal: cutShort.signal })
  timer[Symbol.dispose]()
  return !cutShort.signal.aborted
}
