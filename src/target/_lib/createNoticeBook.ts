/**
 * Notices about targets, each about a target at one address: who is leaving and who is
 * suspected. The earliest word of a leaving target counts, and no later silence undoes it.
 */
import type { Runtime } from '../../runtime/types.js'
import type { TargetNotice } from '../types.js'

/** How long a suspected target gets no new work before it is tried again. */
export const SUSPICION_MS = 2_000

/** How long peers' notices about a target are ignored after its host was off the list. */
const RETURNED_MS = 60_000

/** Share of the targets above which suspicions told by peers are not acted on. */
const MAX_TOLD_SHARE = 1 / 3

/** A target at one address. */
export interface TargetLife {
  target: string
  address: string
}

/** The notices of one daemon. */
export interface NoticeBook {
  isLeaving: (life: TargetLife) => boolean
  isSuspected: (life: TargetLife, knownTargets: number) => boolean
  /** Returns whether this is news. */
  addLeaving: (life: TargetLife, options?: { told?: boolean }) => boolean
  /** Returns whether the target was not suspected before. */
  addSuspected: (life: TargetLife, options?: { remainingMs?: number, told?: boolean }) => boolean
  clearSuspected: (life: TargetLife) => boolean
  /** The host went off the list: what comes back under the address is another life. */
  forget: (life: TargetLife) => void
  after: (sequence: number) => Array<{ notice: TargetNotice, sequence: number }>
}

interface Leaving extends TargetLife { sequence: number }
interface Suspicion extends Leaving { untilMs: number, told: boolean }

const lifeKey = ({ target, address }: TargetLife): string => `${target}@${address}`

/** A book without notices. */
export function createNoticeBook (options: { runtime: Runtime }): NoticeBook {
  const { runtime } = options
  const leaving = new Map<string, Leaving>()
  const suspicions = new Map<string, Suspicion>()
  const returnedMs = new Map<string, number>()
  let sequence = 0

  function active (life: TargetLife): Suspicion | undefined {
    const key = lifeKey(life)
    const found = suspicions.get(key)
    if (found === undefined || found.untilMs > runtime.monotonicMs()) return found
    suspicions.delete(key)
    return undefined
  }

  function dropExpired (): void {
    const nowMs = runtime.monotonicMs()
    for (const [key, suspicion] of suspicions) if (suspicion.untilMs <= nowMs) suspicions.delete(key)
    for (const [key, atMs] of returnedMs) if (nowMs - atMs >= RETURNED_MS) returnedMs.delete(key)
  }

  const wasReturned = (life: TargetLife): boolean => {
    const atMs = returnedMs.get(lifeKey(life))
    return atMs !== undefined && runtime.monotonicMs() - atMs < RETURNED_MS
  }

  return {
    isLeaving: life => leaving.has(lifeKey(life)),
    isSuspected (life, knownTargets) {
      const suspicion = active(life)
      if (suspicion === undefined || !suspicion.told) return suspicion !== undefined
      const told = [...suspicions.values()].filter(other => other.told && other.untilMs > runtime.monotonicMs()).length
      return told <= Math.max(1, knownTargets * MAX_TOLD_SHARE)
    },
    addLeaving (life, { told = false } = {}) {
      const key = lifeKey(life)
      if (leaving.has(key) || (told && wasReturned(life))) return false
      sequence += 1
      leaving.set(key, { ...life, sequence })
      return true
    },
    addSuspected (life, { remainingMs = SUSPICION_MS, told = false } = {}) {
      const before = active(life)
      const untilMs = runtime.monotonicMs() + Math.min(remainingMs, SUSPICION_MS)
      if (told && (before !== undefined || remainingMs <= 0 || wasReturned(life))) return false
      sequence += 1
      suspicions.set(lifeKey(life), { ...life, sequence, untilMs, told })
      return before === undefined
    },
    clearSuspected: life => suspicions.delete(lifeKey(life)),
    forget (life) {
      dropExpired()
      const key = lifeKey(life)
      leaving.delete(key)
      suspicions.delete(key)
      returnedMs.set(key, runtime.monotonicMs())
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
