/**
 * The refusals of one process: the recent ones in memory, and batches of them in the object API at
 * a bounded rate, however many are given. An identity names the batch, so any host finds it by
 * one read.
 */
import type { EventLog } from '../../event/types.js'
import type { ObjectStore } from '../../objectApi/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import { REASONS } from '../../verdict/reasons.js'
import { createBatch } from '../_lib/createBatch.js'
import { REFUSAL_PREFIX, refusalBatchSchema, type RefusalBatch, type RefusalRegistry, type RefusalRecord } from '../types.js'

/** Refusals in each of the two generations kept in memory; the older one goes as a whole. */
const GENERATION_REFUSALS = 25_000

/** Wait after the first refusal of a batch, and least time between two writes. */
export const FLUSH_AFTER_MS = 200
export const FLUSH_INTERVAL_MS = 10_000

/** Age and number of stored batches of one host; older ones are removed. */
export const RETENTION_MS = 86_400_000
const MAX_BATCHES = 1_000

/** Base of the numbers in an identity. */
const RADIX = 36

/** What a journal works with. */
export interface RefusalJournalOptions {
  host: string
  store: ObjectStore
  runtime: Runtime
  log: EventLog
}

/** A journal with its task. */
export interface RefusalJournal extends RefusalRegistry {
  /** Writes batches until the signal aborts; then a last one. */
  run: (signal: AbortSignal) => Promise<void>
}

/** A batch that the store holds. */
interface StoredBatch {
  key: string
  version: number
  closedMs: number
}

/**
 * @name createRefusalJournal
 * @summary An empty journal.
 * @param options - Name of the host and role, store, runtime and log.
 * @returns The journal; it writes once `run` is called.
 *
 * @example
 * const refusals = createRefusalJournal({ host: 'host-1-entry', store, runtime, log })
 * const task = refusals.run(signal)
 */
export function createRefusalJournal (options: RefusalJournalOptions): RefusalJournal {
  const { host, store, runtime, log } = options
  const start = Math.floor(runtime.nowMs()).toString(RADIX)
  let recent = new Map<string, RefusalRecord>()
  let older = new Map<string, RefusalRecord>()
  const stored: StoredBatch[] = []
  let number = 0
  let count = 0
  let batch = createBatch(runtime)
  let pending: { key: string, value: RefusalBatch } | undefined
  let wake = (): void => {}

  function add (refusal: Parameters<RefusalRegistry['add']>[0], context: Record<string, unknown>): typeof refusal {
    const identified = { ...refusal, id: `${host}.${start}.${number.toString(RADIX)}.${(count++).toString(RADIX)}` }
    const { number: reasonNumber, title } = REASONS[refusal.reason]
    const record: RefusalRecord = { ...context, ...identified, reasonNumber, title, host, refusedMs: runtime.nowMs() }
    remember(record)
    batch.add(record)
    wake()
    return identified
  }

  function remember (record: RefusalRecord): void {
    if (recent.size >= GENERATION_REFUSALS) {
      older = recent
      recent = new Map()
    }
    recent.set(record.id, record)
  }

  async function flush (): Promise<void> {
    if (batch.isEmpty()) return
    const key = `${REFUSAL_PREFIX}${host}/${start}/${number.toString(RADIX)}`
    const dropped = batch.dropped()
    const value = batch.close(host, runtime.nowMs())
    batch = createBatch(runtime)
    number += 1
    if (dropped > 0) log.emit('refusalsDropped', { dropped, kept: value.refusals.length })
    await write(key, value)
  }

  /** Refusals that come meanwhile fill the next batch, which waits for this one. */
  async function write (key: string, value: RefusalBatch): Promise<void> {
    const { closedMs } = value
    const written = await store.write(key, value, { ifAbsent: true })
    if (written.kind === 'written') stored.push({ key, version: written.version, closedMs })
    if (written.kind === 'notApplied' || written.kind === 'mayBeApplied') pending = { key, value }
  }

  async function step (): Promise<void> {
    if (pending === undefined) return await flush()
    const { key, value } = pending
    pending = undefined
    await write(key, value)
  }

  async function removeExpired (): Promise<void> {
    const oldest = stored[0]
    if (oldest === undefined) return
    const isExpired = oldest.closedMs < runtime.nowMs() - RETENTION_MS || stored.length > MAX_BATCHES
    if (!isExpired) return
    const removed = await store.remove(oldest.key, { ifVersion: oldest.version })
    if (removed.kind === 'written' || removed.kind === 'conflict') stored.shift()
  }

  /** Learns the batches that earlier processes of this host left. */
  async function readStored (): Promise<void> {
    const listed = await store.list(`${REFUSAL_PREFIX}${host}/`)
    if (listed.kind === 'unavailable') return
    for (const { key, version, value } of listed.objects) {
      const checked = refusalBatchSchema.safeParse(value)
      if (checked.success) stored.push({ key, version, closedMs: checked.data.closedMs })
    }
    stored.sort((a, b) => a.closedMs - b.closedMs)
  }

  return {
    add,
    find: id => recent.get(id) ?? older.get(id),
    async run (signal) {
      await readStored()
      while (!signal.aborted) {
        if (batch.isEmpty() && pending === undefined) await waitForRefusal(signal)
        await sleep(FLUSH_AFTER_MS, { runtime, signal })
        await step()
        await removeExpired()
        await sleep(FLUSH_INTERVAL_MS, { runtime, signal })
      }
      if (pending !== undefined) await step()
      await step()
    }
  }

  function waitForRefusal (signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const finish = (): void => {
        wake = () => {}
        signal.removeEventListener('abort', finish)
        resolve()
      }
      wake = finish
      signal.addEventListener('abort', finish, { once: true })
    })
  }
}
