/**
 * The lease that decides which control daemon gives orders.
 */
import { z } from 'zod'

/** The stored lease. */
export const leaseSchema = z.strictObject({
  holder: z.string(),
  nonce: z.string(),
  /** Raised with each change of holder; carried by every order. */
  fencing: z.int().positive(),
  /** Raised with each renewal, so that others see it live without comparing clocks. */
  renewal: z.int().min(0),
  /** How long others must see no renewal before they may take over. */
  durationMs: z.int().positive()
})

/** The stored lease. */
export type LeaseRecord = z.infer<typeof leaseSchema>

/** Key of the lease. */
export const LEASE_KEY = 'leases/control'

/** Deadline of one call to an engine, and so the longest time that an order can be under way. */
export const ENGINE_CALL_MS = 2_000

/** A lease as its holder knows it. */
export interface HeldLease {
  fencing: number
  /** Version of the stored lease. */
  version: number
  renewal: number
  /** Monotonic time after which the holder must not act. */
  expiresAtMs: number
  /** Monotonic time at which the store's answer made this daemon the holder. */
  acquiredAtMs: number
}
