/**
 * Lets a deadline hold for a task that heeds its signal late. A request of undici, for one, notices that
 * its signal has aborted only once its connection is open or has failed, on a silent link after ten seconds.
 */

/**
 * @name rejectOnAbort
 * @summary Settles as a task does, or rejects when a signal aborts, whichever is first.
 * @param task - The task; it should end soon after the signal has aborted, and its result is then ignored.
 * @param signal - The signal.
 * @returns The result of the task; rejects with the reason of the signal if it aborts first.
 *
 * @example
 * const response = await rejectOnAbort(request(url, { signal }), signal)
 */
export function rejectOnAbort<T> (task: Promise<T>, signal: AbortSignal): Promise<T> {
  return new Promise((resolve, reject) => {
    const abort = (): void => reject(signal.reason)
    if (signal.aborted) abort()
    signal.addEventListener('abort', abort, { once: true })
    task.then(resolve, reject).finally(() => signal.removeEventListener('abort', abort))
  })
}
