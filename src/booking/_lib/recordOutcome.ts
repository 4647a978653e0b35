/**
 * The holder's outcome. What the holder of an attempt knows replaces what others concluded from
 * its silence, as long as the record still belongs to that attempt.
 */
import type { ObjectStore } from '../../objectApi/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import type { BookingRecord } from '../types.js'
import { readBooking } from './writeUntilKnown.js'

/** Waits between tries to record an outcome; afterwards the record stays in doubt. */
const RECORD_RETRY_MS = [250, 500, 1_000, 2_000, 4_000, 8_000, 16_000, 32_000]

/** Where an outcome is written. */
export interface OutcomeOptions {
  store: ObjectStore
  runtime: Runtime
  /** Version that the intent has in the store. */
  version: number
}

/** Tries once; `true` when the record is known to hold the outcome or to belong to another attempt. */
export async function recordOutcome (key: string, outcome: BookingRecord, options: OutcomeOptions): Promise<boolean> {
  const { store, version } = options
  const written = await store.write(key, outcome, { ifVersion: version })
  return written.kind === 'written' || (written.kind === 'conflict' && await correct(key, outcome, store))
}

/** Tries again, with growing waits, until the outcome is known to be recorded. */
export async function recordOutcomeLater (key: string, outcome: BookingRecord, options: OutcomeOptions): Promise<void> {
  const { store, runtime } = options
  for (const waitMs of RECORD_RETRY_MS) {
    await sleep(waitMs, { runtime })
    if (await correct(key, outcome, store)) return
  }
}

async function correct (key: string, outcome: BookingRecord, store: ObjectStore): Promise<boolean> {
  const seen = await readBooking(key, store)
  if (seen === undefined) return false
  const { record, version } = seen
  if (record.nonce !== outcome.nonce || record.state === outcome.state) return true
  return (await store.write(key, outcome, { ifVersion: version })).kind === 'written'
}
