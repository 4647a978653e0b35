/**
 * Records the refusals of one process: recent ones in memory, and batches of them in the object API.
 * Batches are written at a bounded rate, however many requests are refused. The id of a refusal
 * contains the key of its batch, so that any host finds it with one read.
 */
import type { EventLog } from '../../event/types.js'
import type { ObjectStore } from '../../objectApi/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import { REASONS } from '../../verdict/reasons.js'
import { createBatch } from '../_lib/createBatch.js'
import { REFUSAL_PREFIX, refusalBatchSchema, type RefusalBatch, type RefusalRegistry, type RefusalRecord } from '../types.js'

/** Number of refusals in each of the two generations in memory; the older generation is discarded as a whole. */
const GENERATION_REFUSALS = 25_000

/** Delay between the first refusal of a batch and its write, in milliseconds. */
export const FLUSH_DELAY_MS = 200

/** Least time between two writes, in milliseconds. */
export const FLUSH_INTERVAL_MS = 10_000

/** Age after which a stored batch is removed, in milliseconds. */
export const RETENTION_MS = 86_400_000

/** Maximum number of stored batches of one host; older ones are removed. */
const MAX_STORED_BATCHES = 1_000

/** Base of the numbers in the id of a refusal. */
const ID_RADIX = 36

/** What a journal depends on. */
export interface RefusalJournalOptions {
  host: string
  store: ObjectStore
  runtime: Runtime
  log: EventLog
}

/** A registry of refusals that also writes them to the object API. */
export interface RefusalJournal extends RefusalRegistry {
  /** Writes batches until the signal aborts, then what is left. */
  run: (signal: AbortSignal) => Promise<void>
}

/** A batch in the object API. */
interface StoredBatch {
  key: string
  version: number
  closedMs: number
}

/**
 * @name createRefusalJournal
 * @summary Creates an empty journal.
 * @param options - Name made of the host and its role, store, runtime and log.
 * @returns The journal; it writes nothing until `run` is called.
 *
 * @example
 * const refusals = createRefusalJournal({ host: 'host-1-entry', store, runtime, log })
 * const task = refusals.run(signal)
 */
export function createRefusalJournal (options: RefusalJournalOptions): RefusalJournal {
  const { host, store, runtime, log } = options
  /** Start of this process, which separates its ids from those of earlier processes of the host. */
  const start = Math.floor(runtime.nowMs()).toString(ID_RADIX)
  let recent = new Map<string, RefusalRecord>()
  let older = new Map<string, RefusalRecord>()
  const storedBatches: StoredBatch[] = []
  let batchNumber = 0
  let refusalCount = 0
  let batch = createBatch(runtime)
  /** A batch whose write may have failed, to be written again. */
  let unconfirmed: { key: string, value: RefusalBatch } | undefined
  let notifyRefusal = (): void => {}

  function add (refusal: Parameters<RefusalRegistry['add']>[0], context: Record<string, unknown>): typeof refusal {
    const withId = { ...refusal, id: `${host}.${start}.${batchNumber.toString(ID_RADIX)}.${(refusalCount++).toString(ID_RADIX)}` }
    const { number: reasonNumber, title } = REASONS[refusal.reason]
    const record: RefusalRecord = { ...context, ...withId, reasonNumber, title, host, refusedMs: runtime.nowMs() }
    keepInMemory(record)
    batch.add(record)
    notifyRefusal()
    return withId
  }

  function keepInMemory (record: RefusalRecord): void {
    if (recent.size >= GENERATION_REFUSALS) {
      older = recent
      recent = new Map()
    }
    recent.set(record.id, record)
  }

  /** Closes the current batch and writes it. */
  async function flush (): Promise<void> {
    if (batch.isEmpty()) return
    const key = `${REFUSAL_PREFIX}${host}/${start}/${batchNumber.toString(ID_RADIX)}`
    const dropped = batch.dropped()
    const value = batch.close(host, runtime.nowMs())
    batch = createBatch(runtime)
    batchNumber += 1
    if (dropped > 0) log.emit('refusalsDropped', { dropped, kept: value.refusals.length })
    await write(key, value)
  }

  /** Writes a batch. Refusals that come meanwhile go into the next batch, which is written after this one. */
  async function write (key: string, value: RefusalBatch): Promise<void> {
    const { closedMs } = value
    const written = await store.write(key, value, { ifAbsent: true })
    if (written.kind === 'written') storedBatches.push({ key, version: written.version, closedMs })
    if (written.kind === 'notApplied' || written.kind === 'mayBeApplied') unconfirmed = { key, value }
  }

  /** Writes the unconfirmed batch again, or else the current one. */
  async function writeNext (): Promise<void> {
    if (unconfirmed === undefined) return await flush()
    const { key, value } = unconfirmed
    unconfirmed = undefined
    await write(key, value)
  }

  /** Removes the oldest stored batch if it is past its retention or there are too many. */
  async function removeExpired (): Promise<void> {
    const oldest = storedBatches[0]
    if (oldest === undefined) return
    const isExpired = oldest.closedMs < runtime.nowMs() - RETENTION_MS || storedBatches.length > MAX_STORED_BATCHES
    if (!isExpired) return
    const removed = await store.remove(oldest.key, { ifVersion: oldest.version })
    if (removed.kind === 'written' || removed.kind === 'conflict') storedBatches.shift()
  }

  /** Lists the batches that earlier processes of this host wrote, so that they are removed in time. */
  async function readStored (): Promise<void> {
    const listed = await store.list(`${REFUSAL_PREFIX}${host}/`)
    if (listed.kind === 'unavailable') return
    for (const { key, version, value } of listed.objects) {
      const parsed = refusalBatchSchema.safeParse(value)
      if (parsed.success) storedBatches.push({ key, version, closedMs: parsed.data.closedMs })
    }
    storedBatches.sort((a, b) => a.closedMs - b.closedMs)
  }

  return {
    add,
    find: id => recent.get(id) ?? older.get(id),
    async run (signal) {
      await readStored()
      while (!signal.aborted) {
        if (batch.isEmpty() && unconfirmed === undefined) await waitForRefusal(signal)
        await sleep(FLUSH_DELAY_MS, { runtime, signal })
        await writeNext()
        await removeExpired()
        await sleep(FLUSH_INTERVAL_MS, { runtime, signal })
      }
      if (unconfirmed !== undefined) await writeNext()
      await writeNext()
    }
  }

  function waitForRefusal (signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const stopWaiting = (): void => {
        notifyRefusal = () => {}
        signal.removeEventListener('abort', stopWaiting)
        resolve()
      }
      notifyRefusal = stopWaiting
      signal.addEventListener('abort', stopWaiting, { once: true })
    })
  }
}
