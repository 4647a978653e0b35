/**
 * Remembers what the plans for returning callers rest on: the returns that this host handed out,
 * the peaks of demand, and how much time new requests bring with them.
 */
import type { Runtime } from '../../runtime/types.js'
import { estimatePeakEnd } from '../estimatePeakEnd/index.js'
import { planReturn, type ReturnFacts, type ReturnPlan } from '../planReturn/index.js'

/** Time after which a return that was due counts as given up, in milliseconds. */
const SLOT_EXPIRY_MS = 1_000

/** Time without an excess after which a peak is over, in milliseconds. */
const PEAK_END_MS = 1_000

/** Peaks that are remembered. */
const MAX_PEAKS = 8

/** Kinds of request whose time is remembered, and for how long at least, in milliseconds; configurations and callers change it. */
const MAX_KINDS = 1_000
const KIND_MEMORY_MS = 60_000

/** State of the returns of one service. */
export interface ReturnBook {
  /** Notes whether more is asked for than is served. */
  noteExcess: (isExcess: boolean) => void
  /** Time since more is asked for than is served, in milliseconds; `undefined` without an excess now or a moment ago. */
  peakAgeMs: () => number | undefined
  /** Plans the return of a caller and hands out its slot. */
  plan: (rank: number, facts: Omit<ReturnFacts, 'peakLeftMs' | 'lastReturnMs' | 'random'>) => ReturnPlan
  /** Returns handed out to callers of a rank that are not over. */
  promised: (rank: number) => number
  /** Time since the first try of a request, in milliseconds, from the time that it brings; 0 if it is as long as that of new ones. */
  elapsedMs: (kind: string, deadlineMs: number) => number
}

/** Creates an empty book. */
export function createReturnBook ({ runtime }: { runtime: Runtime }): ReturnBook {
  let slots: Array<{ rank: number, dueMs: number }> = []
  let lastReturnAtMs = -Infinity
  let peak: { sinceMs: number, seenMs: number } | undefined
  const durationsMs: number[] = []
  /** Longest time that requests of a kind brought, since the last turn of the memory and before it. */
  let longest = new Map<string, number>()
  let formerLongest = new Map<string, number>()
  let turnedMs = runtime.monotonicMs()

  function endPeak (): void {
    if (peak === undefined || runtime.monotonicMs() - peak.seenMs < PEAK_END_MS) return
    durationsMs.push(peak.seenMs - peak.sinceMs)
    if (durationsMs.length > MAX_PEAKS) durationsMs.shift()
    peak = undefined
  }

  function peakAgeMs (): number | undefined {
    endPeak()
    return peak === undefined ? undefined : runtime.monotonicMs() - peak.sinceMs
  }

  return {
    noteExcess (isExcess) {
      endPeak()
      if (!isExcess) return
      const nowMs = runtime.monotonicMs()
      peak = { sinceMs: peak?.sinceMs ?? nowMs, seenMs: nowMs }
    },
    peakAgeMs,
    plan (rank, facts) {
      const nowMs = runtime.monotonicMs()
      const plan = planReturn({ ...facts, peakLeftMs: estimatePeakEnd({ durationsMs, ageMs: peakAgeMs() }), lastReturnMs: lastReturnAtMs - nowMs, random: runtime.random() })
      if (plan.isSlot) {
        lastReturnAtMs = nowMs + plan.retryAfterMs
        slots.push({ rank, dueMs: lastReturnAtMs })
      }
      return plan
    },
    promised (rank) {
      slots = slots.filter(({ dueMs }) => runtime.monotonicMs() < dueMs + SLOT_EXPIRY_MS)
      return slots.filter(slot => slot.rank === rank).length
    },
    elapsedMs (kind, deadlineMs) {
      if (runtime.monotonicMs() - turnedMs >= KIND_MEMORY_MS || longest.size >= MAX_KINDS) {
        formerLongest = longest
        longest = new Map()
        turnedMs = runtime.monotonicMs()
      }
      longest.set(kind, Math.max(longest.get(kind) ?? 0, deadlineMs))
      return Math.max(longest.get(kind)!, formerLongest.get(kind) ?? 0) - deadlineMs
    }
  }
}
