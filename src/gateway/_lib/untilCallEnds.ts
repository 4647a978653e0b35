/**
 * Waits for something that may take longer than a call lasts.
 */
import type { Call } from '../types.js'

/** Resolves with what a task resolves with, or with `undefined` once the call has ended. */
export async function untilCallEnds<Result> (task: Promise<Result>, { signal }: Pick<Call, 'signal'>): Promise<Result | undefined> {
  let noteEnd = (): void => {}
  const ended = new Promise<undefined>(resolve => { noteEnd = () => resolve(undefined) })
  if (signal.aborted) noteEnd()
  signal.addEventListener('abort', noteEnd)
  try {
    return await Promise.race([task, ended])
  } finally {
    signal.removeEventListener('abort', noteEnd)
  }
}
