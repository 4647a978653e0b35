/**
 * Taking and keeping the control lease. Deadlines are monotonic and counted from before the
 * write was sent, so that a holder that was paused finds its lease expired before it acts.
 */
import { randomUUID } from 'node:crypto'
import type { ObjectStore } from '../../objectApi/types.js'
import type { Runtime } from '../../runtime/types.js'
import { ENGINE_CALL_MS, LEASE_KEY, leaseSchema, type HeldLease, type LeaseRecord } from '../types.js'

/** What others last wrote, and when this daemon first saw it. */
interface Observed {
  version: number
  seenMs: number
  record: LeaseRecord
}

/** One daemon's claim on the lease. */
export interface LeaseClient {
  /** Renews or takes the lease where possible, with a fencing number above the given one. */
  step: (options?: { fencingAbove?: number }) => Promise<void>
  /** The lease, while it is certain that no other daemon holds it. */
  held: () => HeldLease | undefined
  /**
   * The lease, while it allows an order now. A target that does not check fencing numbers gets
   * none until an order of the holder before can no longer be under way.
   */
  mayOrder: (target: { checksFencing: boolean }) => HeldLease | undefined
}

/**
 * @name createLeaseClient
 * @summary A client that holds no lease yet.
 * @param options - Holder's name, duration in milliseconds, store and runtime.
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
  let observed: Observed | undefined

  const held = (): HeldLease | undefined =>
    lease !== undefined && runtime.monotonicMs() < lease.expiresAtMs ? lease : undefined

  async function write (record: LeaseRecord, condition: { ifAbsent: true } | { ifVersion: number }): Promise<void> {
    const sentMs = runtime.monotonicMs()
    const current = held()
    const written = await store.write(LEASE_KEY, record, condition)
    if (written.kind === 'written') {
      const acquiredAtMs = current?.acquiredAtMs ?? runtime.monotonicMs()
      lease = { fencing: record.fencing, version: written.version, renewal: record.renewal, expiresAtMs: sentMs + durationMs, acquiredAtMs }
    } else if (written.kind === 'conflict') {
      lease = undefined
    }
  }

  async function renew (current: { fencing: number, renewal: number, version: number }, fencingAbove: number): Promise<void> {
    const fencing = current.fencing > fencingAbove ? current.fencing : fencingAbove + 1
    const record: LeaseRecord = { holder, nonce, fencing, renewal: current.renewal + 1, durationMs }
    await write(record, { ifVersion: current.version })
  }

  /** A record of this daemon's own came of a write whose answer was lost: nobody held the lease since. */
  async function takeOver (fencingAbove: number): Promise<void> {
    const read = await store.read(LEASE_KEY)
    if (read.kind === 'unavailable') return
    if (read.kind === 'absent') return await write({ holder, nonce, fencing: fencingAbove + 1, renewal: 0, durationMs }, { ifAbsent: true })
    const record = leaseSchema.parse(read.object.value)
    const { version } = read.object
    if (record.nonce === nonce) return await renew({ ...record, version }, fencingAbove)
    if (observed === undefined || observed.version !== version) {
      observed = { version, seenMs: runtime.monotonicMs(), record }
      return
    }
    if (runtime.monotonicMs() - observed.seenMs < observed.record.durationMs) return
    await write({ holder, nonce, fencing: Math.max(record.fencing, fencingAbove) + 1, renewal: 0, durationMs }, { ifVersion: version })
  }

  return {
    held,
    mayOrder ({ checksFencing }) {
      const current = held()
      if (current === undefined || checksFencing) return current
      return runtime.monotonicMs() - current.acquiredAtMs >= ENGINE_CALL_MS ? current : undefined
    },
    async step ({ fencingAbove = 0 } = {}) {
      const current = held()
      if (current === undefined) await takeOver(fencingAbove)
      else await renew(current, fencingAbove)
    }
  }
}
