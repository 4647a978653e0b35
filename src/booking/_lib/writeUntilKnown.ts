/**
 * A conditional write whose outcome is settled before anything is built on it. A write that was
 * answered as lost may land at any later time, so it is repeated with the same value: whichever
 * copy lands, the record carries the same nonce.
 */
import type { ObjectStore, WriteCondition } from '../../objectApi/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import { bookingRecordSchema, type BookingRecord, type StoredBooking } from '../types.js'

/** Wait before a write of unknown outcome is repeated. */
const REPEAT_AFTER_MS = 100

/** What became of a write. */
export type KnownWrite =
  | { kind: 'applied', version: number }
  /** The record is another's, or was changed since; this write will not take effect. */
  | { kind: 'other', stored: StoredBooking }
  /** The store refused it without effect. */
  | { kind: 'notApplied', cause: string }
  /** It may yet take effect. */
  | { kind: 'uncertain', cause: string }

/** Writes a record and does not return `applied` unless the store holds exactly this record. */
export async function writeUntilKnown (
  key: string,
  record: BookingRecord,
  condition: WriteCondition,
  options: { store: ObjectStore, runtime: Runtime, untilMs: number }
): Promise<KnownWrite> {
  const { store, runtime, untilMs } = options
  let isInDoubt = false
  let cause = ''
  do {
    const written = await store.write(key, record, condition)
    if (written.kind === 'written') return { kind: 'applied', version: written.version }
    if (written.kind === 'conflict') {
      const seen = await readBooking(key, store)
      if (seen !== undefined) return isSame(seen.record, record) ? { kind: 'applied', version: seen.version } : { kind: 'other', stored: seen }
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

/** The stored record, or nothing when it is absent or the store does not answer. */
export async function readBooking (key: string, store: ObjectStore): Promise<StoredBooking | undefined> {
  const read = await store.read(key)
  if (read.kind !== 'found') return undefined
  return { record: bookingRecordSchema.parse(read.object.value), version: read.object.version }
}

function isSame (stored: BookingRecord, own: BookingRecord): boolean {
  return stored.nonce === own.nonce && stored.state === own.state
}
