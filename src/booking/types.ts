/**
 * Bookings: calls to plain services that may not be repeated, kept by their caller's key.
 */
import { z } from 'zod'

/** The stored record of a keyed booking. */
export const bookingRecordSchema = z.strictObject({
  service: z.string(),
  /** Digest of method, path and body; another body under the same key is refused. */
  digest: z.string(),
  /** Of the daemon that created the record. */
  nonce: z.string(),
  state: z.enum(['intended', 'answered', 'notRun', 'mayHaveRun']),
  answer: z.strictObject({ status: z.int(), contentType: z.string(), body: z.string() }).optional()
})

/** The stored record of a keyed booking. */
export type BookingRecord = z.infer<typeof bookingRecordSchema>

/** Prefix of the records. */
export const BOOKING_PREFIX = 'bookings/'
