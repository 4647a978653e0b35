/**
 * The lease that decides which control daemon may send orders to engines.
 */
import { z } from 'zod'

/** The stored lease. */
export const leaseSchema = z.strictObject({
  holder: z.string(),
  /** Identifies one lease client, so that a client recognizes its own record. */
  nonce: z.string(),
  /** Fencing number: raised with each change of holder and carried by every order. */
  fencing: z.int().positive(),
  /** Raised with each renewal, so that other daemons see that the holder is alive without comparing clocks. */
  renewal: z.int().min(0),
  /** How long another daemon must see no renewal before it may take over the lease. */
  durationMs: z.int().positive()
})

/** The stored lease. */
export type LeaseRecord = z.infer<typeof leaseSchema>

/** Object key of the lease in the store. */
export const LEASE_KEY = 'leases/control'

/** Timeout of one call to an engine, and so the longest time that an order can be in flight. */
export const ENGINE_CALL_TIMEOUT_MS = 2_000

/** The lease as its holder knows it. */
export interface HeldLease {
  fencing: number
  /** Version of the stored object. */
  version: number
  renewal: number
  /** Monotonic time from which the holder must no longer act. */
  expiresAtMs: number
  /** Monotonic time at which the store's response made this daemon the holder. */
  acquiredAtMs: number
}
