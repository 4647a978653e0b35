/**
 * The view of an arrival that finds the key held by another attempt. It waits out the time in
 * which the holder may still send, measured on its own monotonic clock from its first sight of
 * the record, and only then draws a conclusion; so no clocks are compared between hosts.
 */
import { sleep } from '../../runtime/sleep/index.js'
import type { BookingRecord, BookOnceOptions, StatusResult, StoredBooking } from '../types.js'
import { readBooking } from './writeUntilKnown.js'

/** First and longest wait between reads of a record that another attempt holds. */
const FIRST_POLL_MS = 50
const LONGEST_POLL_MS = 500

/** Added to the holder's time for monotonic clocks that run at slightly different rates. */
const CLOCK_MARGIN_MS = 500

/** Waits for the outcome of another attempt, or settles it once its holder can no longer send. */
export async function awaitOutcome (key: string, found: StoredBooking, options: BookOnceOptions): Promise<StoredBooking> {
  const last = await pollHolder(key, found, options)
  const { state } = last.record
  if (state === 'answered' || state === 'notRun') return last
  if (options.signal?.aborted) return last
  const concluded = await conclude(last.record, options)
  if (concluded.state === state) return last
  options.log.emit('bookingConcluded', { from: state, to: concluded.state })
  const written = await options.store.write(key, concluded, { ifVersion: last.version })
  if (written.kind === 'written') return { record: concluded, version: written.version }
  if (written.kind === 'conflict') return await readBooking(key, options.store) ?? last
  return concluded.state === 'answered' ? { record: concluded, version: last.version } : last
}

async function pollHolder (key: string, found: StoredBooking, options: BookOnceOptions): Promise<StoredBooking> {
  const { store, runtime, signal } = options
  let last = found
  let untilMs = runtime.monotonicMs() + holderTimeMs(found.record)
  let pollMs = FIRST_POLL_MS
  while (last.record.state === 'intended' && runtime.monotonicMs() < untilMs && !signal?.aborted) {
    await sleep(pollMs, { runtime, ...(signal ? { signal } : {}) })
    pollMs = Math.min(2 * pollMs, LONGEST_POLL_MS)
    const seen = await readBooking(key, store)
    if (seen === undefined) continue
    if (seen.record.nonce !== last.record.nonce) untilMs = runtime.monotonicMs() + holderTimeMs(seen.record)
    last = seen
  }
  return last
}

function holderTimeMs (record: BookingRecord): number {
  return record.sendWithinMs + record.timeoutMs + CLOCK_MARGIN_MS
}

/** What can be concluded of an attempt whose holder is past its time. */
async function conclude (record: BookingRecord, options: BookOnceOptions): Promise<BookingRecord> {
  const { readStatus, statusSettlesAfterMs, runtime } = options
  const doubt: BookingRecord = { ...record, state: 'mayHaveRun' }
  if (readStatus === undefined) return doubt
  const first = await readStatus()
  if (first.kind === 'ran') return ranByStatus(record, first)
  if (first.kind === 'inconclusive' || statusSettlesAfterMs === undefined) return doubt
  await sleep(statusSettlesAfterMs, { runtime })
  const second = await readStatus()
  if (second.kind === 'ran') return ranByStatus(record, second)
  return second.kind === 'unknownKey' ? { ...record, state: 'notRun', closed: true } : doubt
}

function ranByStatus (record: BookingRecord, { status, contentType, body }: Extract<StatusResult, { kind: 'ran' }>): BookingRecord {
  return { ...record, state: 'answered', answer: { status, contentType, body: body.toString('base64') } }
}
