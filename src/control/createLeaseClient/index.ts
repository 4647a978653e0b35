/**
 * Client of the control lease: acquires it, renews it and reports whether it is held. The expiry is
 * on the monotonic clock and counted from before the write was sent, so that a process that was
 * paused finds its lease expired before it acts.
 */
import { randomUUID } from 'node:crypto'
import type { ObjectStore } from '../../objectApi/types.js'
import type { Runtime } from '../../runtime/types.js'
import { ENGINE_CALL_TIMEOUT_MS, LEASE_KEY, leaseSchema, type HeldLease, type LeaseRecord } from '../types.js'

/** A lease record written by another client, and when this client first read it. */
interface ObservedLease {
  version: number
  firstSeenAtMs: number
  record: LeaseRecord
}

/** One daemon's access to the lease. */
export interface LeaseClient {
  /**
   * Renews the lease, or acquires it if it is absent or if no renewal by its holder was seen for the
   * lease's duration. The fencing number is made higher than `fencingAbove`.
   */
  step: (options?: { fencingAbove?: number }) => Promise<void>
  /** The lease, as long as no other daemon can hold it; undefined otherwise. */
  held: () => HeldLease | undefined
  /**
   * The lease, if an order may be sent to the target now; undefined otherwise. A target that does
   * not check fencing numbers gets no order until one from the previous holder can no longer be in
   * flight.
   */
  leaseForOrder: (target: { checksFencing: boolean }) => HeldLease | undefined
}

/**
 * @name createLeaseClient
 * @summary A client that does not hold the lease yet.
 * @param options - Name of the holder, duration of the lease in milliseconds, store and runtime.
 * @returns The client.
 *
 * @example
 * const lease = createLeaseClient({ holder: 'entry-1', durationMs: 6000, store, runtime })
 * await lease.step()
 */
export function createLeaseClient (options: { holder: string, durationMs: number, store: ObjectStore, runtime: Runtime }): LeaseClient {
  const { holder, durationMs, store, runtime } = options
  const nonce = randomUUID()
  let lease: HeldLease | undefined
  let observed: ObservedLease | undefined

  const held = (): HeldLease | undefined =>
    lease !== undefined && runtime.monotonicMs() < lease.expiresAtMs ? lease : undefined

  /** Writes the record; the lease is held if the store confirms it, and lost if the condition is not met. */
  async function write (record: LeaseRecord, condition: { ifAbsent: true } | { ifVersion: number }): Promise<void> {
    const sentAtMs = runtime.monotonicMs()
    const current = held()
    const written = await store.write(LEASE_KEY, record, condition)
    if (written.kind === 'written') {
      const acquiredAtMs = current?.acquiredAtMs ?? runtime.monotonicMs()
      lease = { fencing: record.fencing, version: written.version, renewal: record.renewal, expiresAtMs: sentAtMs + durationMs, acquiredAtMs }
    } else if (written.kind === 'conflict') {
      lease = undefined
    }
  }

  async function renew (current: { fencing: number, renewal: number, version: number }, fencingAbove: number): Promise<void> {
    const fencing = current.fencing > fencingAbove ? current.fencing : fencingAbove + 1
    const record: LeaseRecord = { holder, nonce, fencing, renewal: current.renewal + 1, durationMs }
    await write(record, { ifVersion: current.version })
  }

  /**
   * Acquires the lease if it is absent or its holder has stopped renewing it. A record with this
   * client's nonce comes from a write whose response was lost; no other client has held the lease
   * since then, so it is renewed.
   */
  async function acquire (fencingAbove: number): Promise<void> {
    const read = await store.read(LEASE_KEY)
    if (read.kind === 'unavailable') return
    if (read.kind === 'absent') return await write({ holder, nonce, fencing: fencingAbove + 1, renewal: 0, durationMs }, { ifAbsent: true })
    const record = leaseSchema.parse(read.object.value)
    const { version } = read.object
    if (record.nonce === nonce) return await renew({ ...record, version }, fencingAbove)
    if (observed === undefined || observed.version !== version) {
      observed = { version, firstSeenAtMs: runtime.monotonicMs(), record }
      return
    }
    if (runtime.monotonicMs() - observed.firstSeenAtMs < observed.record.durationMs) return
    await write({ holder, nonce, fencing: Math.max(record.fencing, fencingAbove) + 1, renewal: 0, durationMs }, { ifVersion: version })
  }

  return {
    held,
    leaseForOrder ({ checksFencing }) {
      const current = held()
      if (current === undefined || checksFencing) return current
      return runtime.monotonicMs() - current.acquiredAtMs >= ENGINE_CALL_TIMEOUT_MS ? current : undefined
    },
    async step ({ fencingAbove = 0 } = {}) {
      const current = held()
      if (current === undefined) await acquire(fencingAbove)
      else await renew(current, fencingAbove)
    }
  }
}
