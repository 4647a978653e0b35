/**
 * Which targets are leaving or suspected, each at one address. A target counts as leaving from the
 * first notice on; a later source that does not list it as leaving changes nothing.
 */
import type { Runtime } from '../../runtime/types.js'
import type { TargetNotice } from '../types.js'

/** How long a suspected target gets no new work before it is tried again, in milliseconds. */
export const SUSPICION_MS = 2_000

/** How long peers' notices about a target are ignored after its host left the list or changed its address, in milliseconds. */
const IGNORE_FORGOTTEN_MS = 60_000

/** Share of the targets above which suspicions reported by peers are ignored. */
const MAX_PEER_SUSPICION_SHARE = 1 / 3

/** A target at one address; under another address it counts as a new instance. */
export interface TargetInstance {
  target: string
  address: string
}

/** Leaving and suspected targets as one daemon knows them. */
export interface NoticeTable {
  isLeaving: (instance: TargetInstance) => boolean
  /** Whether a suspicion is in force; those reported by peers are ignored when they cover too many of all targets. */
  isSuspected: (instance: TargetInstance, targetCount: number) => boolean
  /** Returns whether the target was not leaving before; peers' notices about a forgotten instance are ignored. */
  addLeaving: (instance: TargetInstance, options?: { isFromPeer?: boolean }) => boolean
  /** Returns whether the target was not suspected before. */
  addSuspected: (instance: TargetInstance, options?: { remainingMs?: number, isFromPeer?: boolean }) => boolean
  /** Returns whether there was a suspicion. */
  clearSuspected: (instance: TargetInstance) => boolean
  /** Drops notices about an instance whose host left the list or changed its address, and ignores those of peers for a while. */
  forget: (instance: TargetInstance) => void
  /** Notices with a higher sequence number, oldest first. */
  after: (sequence: number) => Array<{ notice: TargetNotice, sequence: number }>
}

interface Leaving extends TargetInstance { sequence: number }
interface Suspicion extends Leaving { untilMs: number, isFromPeer: boolean }

const instanceKey = ({ target, address }: TargetInstance): string => `${target}@${address}`

/** An empty table. */
export function createNoticeTable (options: { runtime: Runtime }): NoticeTable {
  const { runtime } = options
  const leaving = new Map<string, Leaving>()
  const suspicions = new Map<string, Suspicion>()
  /** Monotonic time at which an instance was forgotten, by key. */
  const forgottenAtMs = new Map<string, number>()
  let sequence = 0

  /** The suspicion of an instance, unless it has expired. */
  function findSuspicion (instance: TargetInstance): Suspicion | undefined {
    const key = instanceKey(instance)
    const found = suspicions.get(key)
    if (found === undefined || found.untilMs > runtime.monotonicMs()) return found
    suspicions.delete(key)
    return undefined
  }

  function dropExpired (): void {
    const nowMs = runtime.monotonicMs()
    for (const [key, suspicion] of suspicions) if (suspicion.untilMs <= nowMs) suspicions.delete(key)
    for (const [key, atMs] of forgottenAtMs) if (nowMs - atMs >= IGNORE_FORGOTTEN_MS) forgottenAtMs.delete(key)
  }

  const isRecentlyForgotten = (instance: TargetInstance): boolean => {
    const atMs = forgottenAtMs.get(instanceKey(instance))
    return atMs !== undefined && runtime.monotonicMs() - atMs < IGNORE_FORGOTTEN_MS
  }

  return {
    isLeaving: instance => leaving.has(instanceKey(instance)),
    isSuspected (instance, targetCount) {
      const suspicion = findSuspicion(instance)
      if (suspicion === undefined || !suspicion.isFromPeer) return suspicion !== undefined
      const reportedCount = [...suspicions.values()].filter(other => other.isFromPeer && other.untilMs > runtime.monotonicMs()).length
      return reportedCount <= Math.max(1, targetCount * MAX_PEER_SUSPICION_SHARE)
    },
    addLeaving (instance, { isFromPeer = false } = {}) {
      const key = instanceKey(instance)
      if (leaving.has(key) || (isFromPeer && isRecentlyForgotten(instance))) return false
      sequence += 1
      leaving.set(key, { ...instance, sequence })
      return true
    },
    addSuspected (instance, { remainingMs = SUSPICION_MS, isFromPeer = false } = {}) {
      const before = findSuspicion(instance)
      const untilMs = runtime.monotonicMs() + Math.min(remainingMs, SUSPICION_MS)
      if (isFromPeer && (before !== undefined || remainingMs <= 0 || isRecentlyForgotten(instance))) return false
      sequence += 1
      suspicions.set(instanceKey(instance), { ...instance, sequence, untilMs, isFromPeer })
      return before === undefined
    },
    clearSuspected: instance => suspicions.delete(instanceKey(instance)),
    forget (instance) {
      dropExpired()
      const key = instanceKey(instance)
      leaving.delete(key)
      suspicions.delete(key)
      forgottenAtMs.set(key, runtime.monotonicMs())
    },
    after (from) {
      const nowMs = runtime.monotonicMs()
      const left = [...leaving.values()].filter(entry => entry.sequence > from)
        .map(({ target, address, sequence: at }) => ({ sequence: at, notice: { target, address, state: 'leaving' as const, remainingMs: 0 } }))
      const suspected = [...suspicions.values()].filter(entry => entry.sequence > from && entry.untilMs > nowMs)
        .map(({ target, address, sequence: at, untilMs }) => ({ sequence: at, notice: { target, address, state: 'suspected' as const, remainingMs: Math.ceil(untilMs - nowMs) } }))
      return [...left, ...suspected].sort((a, b) => a.sequence - b.sequence)
    }
  }
}
