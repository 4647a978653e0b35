/**
 * Waits for a condition that others bring about, such as the end of the last open call.
 */

/** Those who wait. */
export interface Waiters {
  /** Resolves with the next `release`, or when the signal aborts. */
  wait: (signal: AbortSignal) => Promise<void>
  /** Lets all go on that wait now. */
  release: () => void
}

/**
 * @name createWaiters
 * @summary Creates an empty set of waiters.
 * @returns The set.
 *
 * @example
 * const waiters = createWaiters()
 * if (open.size > 0) await waiters.wait(deadline.signal)
 */
export function createWaiters (): Waiters {
  const waiting = new Set<() => void>()
  return {
    wait (signal) {
      if (signal.aborted) return Promise.resolve()
      return new Promise(resolve => {
        const finish = (): void => {
          waiting.delete(finish)
          signal.removeEventListener('abort', finish)
          resolve()
        }
        waiting.add(finish)
        signal.addEventListener('abort', finish, { once: true })
      })
    },
    release () { for (const finish of [...waiting]) finish() }
  }
}
