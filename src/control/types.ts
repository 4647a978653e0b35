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

/** A lease as its holder knows it. */
export interface HeldLease {
  fencing: number
  /** Version of the stored lease. */
  version: number
  renewal: number
  /** Monotonic time after which the holder must not act. */
  expiresAtMs: number
}
