/**
 * Records the outcome of an attempt. What the attempt itself knows replaces what other hosts inferred
 * after its time had run out, as long as the record still belongs to this attempt.
 */
import type { ObjectStore } from '../../objectApi/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import type { BookingRecord } from '../types.js'
import { readBooking } from './writeUntilConfirmed.js'

/** Delays before each retry of recording an outcome, in milliseconds. After the last one the record stays in doubt. */
const RECORD_RETRY_MS = [250, 500, 1_000, 2_000, 4_000, 8_000, 16_000, 32_000]

/** Options of recording an outcome. */
export interface OutcomeOptions {
  store: ObjectStore
  runtime: Runtime
  /** Version of the intent in the store. */
  version: number
}

/** Tries once. Returns `true` if the record is known to hold the outcome or to belong to another attempt. */
export async function recordOutcome (key: string, outcome: BookingRecord, options: OutcomeOptions): Promise<boolean> {
  const { store, version } = options
  const written = await store.write(key, outcome, { ifVersion: version })
  return written.kind === 'written' || (written.kind === 'conflict' && await overwriteOwnRecord(key, outcome, store))
}

/** Retries with growing delays until the record is known to hold the outcome or to belong to another attempt. */
export async function recordOutcomeLater (key: string, outcome: BookingRecord, options: OutcomeOptions): Promise<void> {
  const { store, runtime } = options
  for (const waitMs of RECORD_RETRY_MS) {
    await sleep(waitMs, { runtime })
    if (await overwriteOwnRecord(key, outcome, store)) return
  }
}

/** Writes the outcome over whatever state the stored record of the same attempt has. */
async function overwriteOwnRecord (key: string, outcome: BookingRecord, store: ObjectStore): Promise<boolean> {
  const stored = await readBooking(key, store)
  if (stored === undefined) return false
  const { record, version } = stored
  if (record.nonce !== outcome.nonce || record.state === outcome.state) return true
  return (await store.write(key, outcome, { ifVersion: version })).kind === 'written'
}
