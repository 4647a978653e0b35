/**
 * Repeats a conditional write until its effect is known. A write without an answer may still be
 * applied at any later time, so it is repeated with the same value: whichever of the writes is
 * applied, the record has the same nonce.
 */
import type { ObjectStore, WriteCondition } from '../../objectApi/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import { bookingRecordSchema, type BookingRecord, type StoredBooking } from '../types.js'

/** Delay before a write of unknown outcome is repeated, in milliseconds. */
const REPEAT_AFTER_MS = 100

/** Result of a write. */
export type ConfirmedWriteResult =
  | { kind: 'applied', version: number }
  /** The stored record is of another attempt or in another state; this write will not take effect. */
  | { kind: 'conflict', stored: StoredBooking }
  /** The store did not apply the write. */
  | { kind: 'notApplied', cause: string }
  /** Time ran out; the write may have taken effect, or may do so later. */
  | { kind: 'uncertain', cause: string }

/**
 * Writes a record, repeating the write until its outcome is known or `untilMs` (on the monotonic
 * clock) has passed. Returns `applied` only if the store holds this attempt's record in this state.
 */
export async function writeUntilConfirmed (
  key: string,
  record: BookingRecord,
  condition: WriteCondition,
  options: { store: ObjectStore, runtime: Runtime, untilMs: number }
): Promise<ConfirmedWriteResult> {
  const { store, runtime, untilMs } = options
  let isInDoubt = false
  let cause = ''
  do {
    const written = await store.write(key, record, condition)
    if (written.kind === 'written') return { kind: 'applied', version: written.version }
    if (written.kind === 'conflict') {
      const stored = await readBooking(key, store)
      if (stored !== undefined) return isSameState(stored.record, record) ? { kind: 'applied', version: stored.version } : { kind: 'conflict', stored }
      cause = 'conflict, and the record could not be read'
    } else {
      if (written.kind === 'notApplied' && !isInDoubt) return written
      isInDoubt = true
      cause = written.cause
    }
    await sleep(REPEAT_AFTER_MS, { runtime })
  } while (runtime.monotonicMs() < untilMs)
  return { kind: 'uncertain', cause }
}

/** Reads a record; `undefined` if it does not exist or the store is unavailable. */
export async function readBooking (key: string, store: ObjectStore): Promise<StoredBooking | undefined> {
  const read = await store.read(key)
  if (read.kind !== 'found') return undefined
  return { record: bookingRecordSchema.parse(read.object.value), version: read.object.version }
}

/** Whether two records are of the same attempt and in the same state. */
function isSameState (stored: BookingRecord, own: BookingRecord): boolean {
  return stored.nonce === own.nonce && stored.state === own.state
}
