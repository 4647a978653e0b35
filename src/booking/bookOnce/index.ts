/**
 * A keyed call that takes effect at most once: its intent is recorded before the one send, its
 * outcome after it, and whoever meets the record again sends nothing.
 */
import { createHash, randomUUID } from 'node:crypto'
import type { EventLog } from '../../event/types.js'
import type { ObjectStore } from '../../objectApi/types.js'
import type { ServiceCall, ServiceResult } from '../../service/types.js'
import { createRefusal, NEVER_SENT } from '../../verdict/createRefusal/index.js'
import type { Refusal } from '../../verdict/types.js'
import { BOOKING_PREFIX, bookingRecordSchema, type BookingRecord } from '../types.js'

/** When a caller whose booking could not be recorded should come back. */
const STORE_RETRY_MS = 2_000

/** One keyed call. */
export interface Booking {
  request: string
  account: string
  service: string
  key: string
  call: ServiceCall
}

/** What a booking works with. */
export interface BookOnceOptions {
  store: ObjectStore
  log: EventLog
  /** Sends the call once. */
  send: () => Promise<ServiceResult>
}

/** A service's answer, or why there is none. */
export type BookingResult =
  | { kind: 'answered', status: number, contentType: string, body: string, replayed: boolean }
  | { kind: 'refused', refusal: Refusal }

/**
 * @name bookOnce
 * @summary Sends a keyed call at most once over all entry hosts.
 * @param booking - The call and its key.
 * @param options - Store, log and the one send.
 * @returns The answer, given again on every repetition, or a refusal with its verdict.
 *
 * @example
 * const result = await bookOnce(booking, { store, log, send })
 */
export async function bookOnce (booking: Booking, options: BookOnceOptions): Promise<BookingResult> {
  const { store, log, send } = options
  const key = BOOKING_PREFIX + createHash('sha256').update(`${booking.account}\n${booking.service}\n${booking.key}`).digest('hex')
  const intent: BookingRecord = { service: booking.service, digest: digestCall(booking.call), nonce: randomUUID(), state: 'intended' }
  const written = await store.write(key, intent, { ifAbsent: true })
  if (written.kind === 'conflict') return await replay(key, intent, booking, options)
  if (written.kind !== 'written') {
    const refusal = createRefusal('bookingStoreUnavailable', { verdict: NEVER_SENT, facts: { cause: written.cause }, retryAfterMs: STORE_RETRY_MS })
    return { kind: 'refused', refusal }
  }
  const { request } = booking
  log.emit('bookingIntended', { request, service: booking.service })
  const result = await send()
  log.emit('bookingSent', { request, service: booking.service, result: result.kind })
  const record = settle(intent, result)
  const settled = await store.write(key, record, { ifVersion: written.version })
  log.emit('bookingSettled', { request, state: record.state, recorded: settled.kind })
  return toResult(record, false)
}

async function replay (key: string, mine: BookingRecord, booking: Booking, options: BookOnceOptions): Promise<BookingResult> {
  const read = await options.store.read(key)
  if (read.kind !== 'found') {
    const refusal = createRefusal('bookingStoreUnavailable', { verdict: { kind: 'mayHaveRun' }, facts: { read: read.kind }, retryAfterMs: STORE_RETRY_MS })
    return { kind: 'refused', refusal }
  }
  const record = bookingRecordSchema.parse(read.object.value)
  if (record.digest !== mine.digest) return { kind: 'refused', refusal: createRefusal('bookingMismatch', { verdict: NEVER_SENT }) }
  options.log.emit('bookingReplayed', { request: booking.request, state: record.state })
  return toResult(record, true)
}

function settle (intent: BookingRecord, result: ServiceResult): BookingRecord {
  if (result.kind === 'answered') {
    const { status, contentType, body } = result
    return { ...intent, state: 'answered', answer: { status, contentType, body } }
  }
  return { ...intent, state: result.kind === 'unreachable' ? 'notRun' : 'mayHaveRun' }
}

function toResult (record: BookingRecord, replayed: boolean): BookingResult {
  if (record.answer !== undefined) return { kind: 'answered', ...record.answer, replayed }
  if (record.state === 'notRun') return { kind: 'refused', refusal: createRefusal('targetUnreachable', { verdict: NEVER_SENT }) }
  return { kind: 'refused', refusal: createRefusal('bookingInDoubt', { verdict: { kind: 'mayHaveRun' }, facts: { state: record.state } }) }
}

function digestCall (call: ServiceCall): string {
  return createHash('sha256').update(`${call.method}\n${call.path}\n`).update(call.body).digest('hex')
}
