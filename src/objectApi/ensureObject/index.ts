/**
 * Creating an object that is never changed afterwards, whatever becomes of single answers.
 */
import type { ObjectStore } from '../types.js'

/** Tries before an unknown outcome is left to the caller. */
const MAX_TRIES = 6

/** What is known of the object. */
export type EnsureResult =
  | { kind: 'created' }
  /** Something stands under the key: another's value, or this one by an earlier write. */
  | { kind: 'exists', value: unknown }
  /** Nothing was written and nothing will be. */
  | { kind: 'notApplied', cause: string }
  /** A write was sent and may take effect at any later time. */
  | { kind: 'unsettled', cause: string }

/**
 * @name ensureObject
 * @summary Creates an object unless its key is taken, and tells which of the two it was.
 * @description A lost answer is followed by the same conditional write again: once one write is
 * answered, or the key is seen to be taken, no earlier one can still take effect.
 * @param key - Key of the object.
 * @param value - Its value.
 * @param options - The store, and the wait before try number `attempt`.
 * @returns What stands under the key, or why that is not known.
 *
 * @example
 * const result = await ensureObject('tickets/7', record, { store, pause })
 */
export async function ensureObject (
  key: string,
  value: unknown,
  options: { store: ObjectStore, pause: (attempt: number) => Promise<void> }
): Promise<EnsureResult> {
  const { store, pause } = options
  let pending = false
  let cause = ''
  for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
    if (attempt > 0) await pause(attempt)
    const written = await store.write(key, value, { ifAbsent: true })
    if (written.kind === 'written') return { kind: 'created' }
    if (written.kind !== 'conflict') cause = written.cause
    if (written.kind === 'notApplied' && !pending) return written
    if (written.kind === 'mayBeApplied') pending = true
    const read = await store.read(key)
    if (read.kind === 'found') return { kind: 'exists', value: read.object.value }
    if (read.kind === 'unavailable') cause = read.cause
  }
  return { kind: 'unsettled', cause }
}
