/**
 * Bookings: calls to plain services with an idempotency key. Each takes effect at most once, which a
 * record in the object API ensures across all entry hosts.
 */
import { z } from 'zod'
import type { EventLog } from '../event/types.js'
import type { ObjectStore } from '../objectApi/types.js'
import type { Runtime } from '../runtime/types.js'
import type { ServiceCall, ServiceResult } from '../service/types.js'
import type { Refusal } from '../verdict/types.js'

/** A service's response as stored in a booking record; the body is in base64. */
const recordedAnswerSchema = z.strictObject({ status: z.int(), contentType: z.string(), body: z.string() })

/** Schema of a booking's record in the object API. */
export const bookingRecordSchema = z.strictObject({
  service: z.string(),
  /** Digest of method, path and body; a call with the same key and another digest is refused. */
  digest: z.string(),
  /** Random ID of the attempt that holds the key; only that attempt may send. */
  nonce: z.string(),
  /** In state `notRun` another attempt may send, unless `closed` is set; in any other state none may. */
  state: z.enum(['intended', 'answered', 'notRun', 'mayHaveRun']),
  /** The attempt starts no send later than this after it started to write its intent. */
  sendWithinMs: z.int().positive(),
  /** Time limit of one send. */
  timeoutMs: z.int().positive(),
  /** Set when `notRun` was inferred from status reads rather than recorded by the attempt itself: the key is then never sent again. */
  closed: z.literal(true).optional(),
  answer: recordedAnswerSchema.optional()
})

/** A booking's record in the object API. */
export type BookingRecord = z.infer<typeof bookingRecordSchema>

/** A record and its version in the store. */
export interface StoredBooking {
  record: BookingRecord
  version: number
}

/** Key prefix of booking records in the store. */
export const BOOKING_PREFIX = 'bookings/'

/** Time from the start of the intent write within which the send must start, in milliseconds. */
export const SEND_WITHIN_MS = 2_000

/** Retry delay for a caller whose booking has no settled outcome or could not be recorded, in milliseconds. */
export const BOOKING_RETRY_MS = 2_000

/** A call with an idempotency key. */
export interface Booking {
  /** ID of the request. */
  request: string
  account: string
  service: string
  /** Idempotency key, chosen by the caller. Equal keys of different accounts or services are independent. */
  key: string
  call: ServiceCall
  /** Whether the caller states that it has never used this key before. */
  isFirstAttempt?: boolean
}

/** Time window in which an attempt may start to send; checked right before the first byte. */
export interface SendWindow {
  isOpen: () => boolean
}

/** Result of reading the status of a key from its service. */
export type StatusResult =
  | { kind: 'ran', status: number, contentType: string, body: Buffer }
  | { kind: 'unknownKey' }
  | { kind: 'inconclusive' }

/** Options of `bookOnce`. */
export interface BookOnceOptions {
  store: ObjectStore
  log: EventLog
  runtime: Runtime
  /** Sends the call once, unless the window has closed. */
  send: (window: SendWindow) => Promise<ServiceResult>
  /** Time limit of one send, in milliseconds. */
  timeoutMs: number
  /** HTTP statuses by which the service proves that it did not run a call. */
  notRunStatuses?: readonly number[]
  /** Reads the status of the key from the service; absent if the service has no status path. */
  readStatus?: () => Promise<StatusResult>
  /** Time after the end of a send from which an unknown key proves that the call did not run; if absent, it never does. */
  statusSettlesAfterMs?: number
  /** Aborts when the caller disconnects. */
  signal?: AbortSignal
  /** Registers a task that goes on after the result was returned, so that shutdown can wait for it. */
  keep?: (task: Promise<void>) => void
}

/** The service's response, or a refusal. */
export type BookingResult =
  /** `replayed` when the response comes from the record of an earlier call. */
  | { kind: 'answered', status: number, contentType: string, body: Buffer, replayed: boolean }
  | { kind: 'refused', refusal: Refusal }
