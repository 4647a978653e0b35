/**
 * Creates an object that is never changed afterwards, even if answers of the store are lost.
 */
import type { ObjectStore } from '../types.js'

/** Number of attempts before the outcome is reported as unsettled. */
const MAX_ATTEMPTS = 6

/** What is known about the object. */
export type EnsureResult =
  | { kind: 'created' }
  /** The key has a value: one that somebody else wrote, or this one from an earlier write. */
  | { kind: 'exists', value: unknown }
  /** Nothing was written, and no write can still take effect. */
  | { kind: 'notApplied', cause: string }
  /** A write was sent and may take effect at any later time. */
  | { kind: 'unsettled', cause: string }

/**
 * @name ensureObject
 * @summary Creates an object unless its key already exists, and reports which of the two it was.
 * @description After a lost answer the same conditional write is sent again: once one write is
 * answered, or the key is seen to exist, no earlier write can still take effect.
 * @param key - Key of the object.
 * @param value - Its value.
 * @param options - The store, and `pause`, which waits before the attempt with the given index.
 * @returns Whether the object was created or existed, or why that is not known.
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
  let hasPendingWrite = false
  let cause = ''
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    if (attempt > 0) await pause(attempt)
    const written = await store.write(key, value, { ifAbsent: true })
    if (written.kind === 'written') return { kind: 'created' }
    if (written.kind !== 'conflict') cause = written.cause
    if (written.kind === 'notApplied' && !hasPendingWrite) return written
    if (written.kind === 'mayBeApplied') hasPendingWrite = true
    const read = await store.read(key)
    if (read.kind === 'found') return { kind: 'exists', value: read.object.value }
    if (read.kind === 'unavailable') cause = read.cause
  }
  return { kind: 'unsettled', cause }
}
