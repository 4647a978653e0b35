/**
 * Deadlines as abort signals, timed by the runtime.
 */
import type { Runtime } from '../types.js'

/** An abort signal with its timer; disposal cancels the timer without aborting the signal. */
export interface DeadlineSignal extends Disposable {
  signal: AbortSignal
  /** Aborts at once, for instance because the caller disconnected. */
  abort: (reason?: unknown) => void
}

/** Reason of a signal that aborted because its deadline passed. */
export class DeadlineError extends Error {
  constructor (readonly deadlineMs: number) {
    super(`no answer within ${deadlineMs} ms`)
    this.name = 'DeadlineError'
  }
}

/**
 * @name withDeadline
 * @summary A signal that aborts after a delay, or with its parent signal.
 * @param deadlineMs - Delay until the signal aborts, in milliseconds.
 * @param options - The runtime and an optional parent signal.
 * @returns The signal and its disposal.
 *
 * @example
 * using deadline = withDeadline(1000, { runtime })
 * await fetch(url, { signal: deadline.signal })
 */
export function withDeadline (
  deadlineMs: number,
  options: { runtime: Runtime, parent?: AbortSignal }
): DeadlineSignal {
  const { runtime, parent } = options
  const controller = new AbortController()
  const abortWithParent = (): void => controller.abort(parent?.reason)
  const timer = runtime.setTimer(deadlineMs, () => controller.abort(new DeadlineError(deadlineMs)))
  if (parent?.aborted) abortWithParent()
  parent?.addEventListener('abort', abortWithParent, { once: true })
  return {
    signal: controller.signal,
    abort: reason => controller.abort(reason),
    [Symbol.dispose] () {
      timer[Symbol.dispose]()
      parent?.removeEventListener('abort', abortWithParent)
    }
  }
}
