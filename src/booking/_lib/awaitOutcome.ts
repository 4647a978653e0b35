/**
 * Waits for the outcome of another attempt that holds the key. If none is recorded in the time within
 * which that attempt may still send, the outcome is inferred. The time is measured on this host's
 * monotonic clock from the first read of the record, so clocks of different hosts are never compared.
 */
import { sleep } from '../../runtime/sleep/index.js'
import type { BookingRecord, BookOnceOptions, StatusResult, StoredBooking } from '../types.js'
import { readBooking } from './writeUntilConfirmed.js'

/** First and longest delay between reads of a record that another attempt holds, in milliseconds. */
const FIRST_POLL_MS = 50
const MAX_POLL_MS = 500

/** Margin for monotonic clocks that run at slightly different rates, in milliseconds. */
const CLOCK_MARGIN_MS = 500

/** Waits for the outcome of another attempt, or settles it once that attempt can no longer send. */
export async function awaitOutcome (key: string, found: StoredBooking, options: BookOnceOptions): Promise<StoredBooking> {
  const latest = await pollUntilSettled(key, found, options)
  const { state } = latest.record
  if (state === 'answered' || state === 'notRun') return latest
  if (options.signal?.aborted) return latest
  const inferred = await inferOutcome(latest.record, options)
  if (inferred.state === state) return latest
  options.log.emit('bookingConcluded', { from: state, to: inferred.state })
  const written = await options.store.write(key, inferred, { ifVersion: latest.version })
  if (written.kind === 'written') return { record: inferred, version: written.version }
  if (written.kind === 'conflict') return await readBooking(key, options.store) ?? latest
  return inferred.state === 'answered' ? { record: inferred, version: latest.version } : latest
}

/** Reads the record until it has an outcome, its attempt can no longer send, or the caller disconnects. */
async function pollUntilSettled (key: string, found: StoredBooking, options: BookOnceOptions): Promise<StoredBooking> {
  const { store, runtime, signal } = options
  let latest = found
  let untilMs = runtime.monotonicMs() + maxAttemptMs(found.record)
  let pollMs = FIRST_POLL_MS
  while (latest.record.state === 'intended' && runtime.monotonicMs() < untilMs && !signal?.aborted) {
    await sleep(pollMs, { runtime, ...(signal ? { signal } : {}) })
    pollMs = Math.min(2 * pollMs, MAX_POLL_MS)
    const stored = await readBooking(key, store)
    if (stored === undefined) continue
    if (stored.record.nonce !== latest.record.nonce) untilMs = runtime.monotonicMs() + maxAttemptMs(stored.record)
    latest = stored
  }
  return latest
}

/** Longest time from the intent to the end of the send, with a margin for clock rates. */
function maxAttemptMs (record: BookingRecord): number {
  return record.sendWithinMs + record.timeoutMs + CLOCK_MARGIN_MS
}

/**
 * Infers the outcome of an attempt that can no longer send, by reading its status from the service.
 * Without a proof either way the outcome is `mayHaveRun`.
 */
async function inferOutcome (record: BookingRecord, options: BookOnceOptions): Promise<BookingRecord> {
  const { readStatus, statusSettlesAfterMs, runtime } = options
  const inDoubt: BookingRecord = { ...record, state: 'mayHaveRun' }
  if (readStatus === undefined) return inDoubt
  const first = await readStatus()
  if (first.kind === 'ran') return toAnsweredRecord(record, first)
  if (first.kind === 'inconclusive' || statusSettlesAfterMs === undefined) return inDoubt
  await sleep(statusSettlesAfterMs, { runtime })
  const second = await readStatus()
  if (second.kind === 'ran') return toAnsweredRecord(record, second)
  return second.kind === 'unknownKey' ? { ...record, state: 'notRun', closed: true } : inDoubt
}

function toAnsweredRecord (record: BookingRecord, { status, contentType, body }: Extract<StatusResult, { kind: 'ran' }>): BookingRecord {
  return { ...record, state: 'answered', answer: { status, contentType, body: body.toString('base64') } }
}
