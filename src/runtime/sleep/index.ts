/**
 * Waits with a timer of the runtime.
 */
import type { Runtime } from '../types.js'

/**
 * @name sleep
 * @summary Waits for a delay or until a signal aborts, whichever is first.
 * @param delayMs - How long to wait, in milliseconds.
 * @param options - The runtime, and a signal that ends the wait early.
 * @returns A promise that resolves in both cases; it never rejects.
 *
 * @example
 * await sleep(250, { runtime, signal })
 */
export function sleep (delayMs: number, options: { runtime: Runtime, signal?: AbortSignal }): Promise<void> {
  const { runtime, signal } = options
  return new Promise(resolve => {
    if (signal?.aborted) return resolve()
    const finish = (): void => {
      timer[Symbol.dispose]()
      signal?.removeEventListener('abort', finish)
      resolve()
    }
    const timer = runtime.setTimer(delayMs, finish)
    signal?.addEventListener('abort', finish, { once: true })
  })
}
