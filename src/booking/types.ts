/**
 * Bookings: calls to plain services that must take effect at most once, kept by their caller's
 * key in the object API.
 */
import { z } from 'zod'
import type { EventLog } from '../event/types.js'
import type { ObjectStore } from '../objectApi/types.js'
import type { Runtime } from '../runtime/types.js'
import type { ServiceCall, ServiceResult } from '../service/types.js'
import type { Refusal } from '../verdict/types.js'

/** A service's answer as a record keeps it; the body is in base64. */
const recordedAnswerSchema = z.strictObject({ status: z.int(), contentType: z.string(), body: z.string() })

/** The stored record of a keyed booking. */
export const bookingRecordSchema = z.strictObject({
  service: z.string(),
  /** Digest of method, path and body; another body under the same key is refused. */
  digest: z.string(),
  /** Of the attempt that holds the key; only its holder may send. */
  nonce: z.string(),
  /** `intended` and `mayHaveRun` forbid another send for good, `notRun` permits one unless closed. */
  state: z.enum(['intended', 'answered', 'notRun', 'mayHaveRun']),
  /** The holder begins no send later than this after it began to write the intent. */
  sendWithinMs: z.int().positive(),
  /** Longest time of one send. */
  timeoutMs: z.int().positive(),
  /** Set when a status read, not the holder, settled `notRun`: the key is then never sent again. */
  closed: z.literal(true).optional(),
  answer: recordedAnswerSchema.optional()
})

/** The stored record of a keyed booking. */
export type BookingRecord = z.infer<typeof bookingRecordSchema>

/** A record with the version under which the store holds it. */
export interface StoredBooking {
  record: BookingRecord
  version: number
}

/** Prefix of the records. */
export const BOOKING_PREFIX = 'bookings/'

/** Time from the start of the intent write within which the send must begin. */
export const SEND_WITHIN_MS = 2_000

/** When a caller whose booking could not be recorded should come back. */
export const STORE_RETRY_MS = 2_000

/** One keyed call. */
export interface Booking {
  request: string
  account: string
  service: string
  key: string
  call: ServiceCall
  /** The caller states that it has never used this key before. */
  isFirstAttempt?: boolean
}

/** Right to send, checked immediately before the first byte of each send. */
export interface SendWindow {
  isOpen: () => boolean
}

/** What the service says of a key when its state is read. */
export type StatusResult =
  | { kind: 'ran', status: number, contentType: string, body: Buffer }
  | { kind: 'unknownKey' }
  | { kind: 'inconclusive' }

/** What a booking works with. */
export interface BookOnceOptions {
  store: ObjectStore
  log: EventLog
  runtime: Runtime
  /** Sends the call once, unless the permit has closed. */
  send: (permit: SendWindow) => Promise<ServiceResult>
  /** Longest time of one send. */
  timeoutMs: number
  /** Statuses by which the service proves that it did not run a call. */
  notRunStatuses?: readonly number[]
  /** Reads the state of the key at the service, where it offers that. */
  readStatus?: () => Promise<StatusResult>
  /** Age of a finished send from which an unknown key proves that it did not run; never unless given. */
  statusSettlesAfterMs?: number
  /** Aborts when the caller goes away. */
  signal?: AbortSignal
  /** Takes over a task that outlives the answer, so that shutdown can wait for it. */
  keep?: (task: Promise<void>) => void
}

/** A service's answer, or why there is none. */
export type BookingResult =
  | { kind: 'answered', status: number, contentType: string, body: Buffer, replayed: boolean }
  | { kind: 'refused', refusal: Refusal }
