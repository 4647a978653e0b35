/**
 * A runtime whose time moves only when a test says so.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { Runtime } from '../../src/runtime/types.js'

/** Divides a 32-bit draw into [0, 1). */
const DRAW_RANGE = 2 ** 32

/** A runtime with its controls. */
export interface ManualRuntime extends Runtime {
  /** Moves time on, running every timer that falls due, in order, and letting tasks settle between. */
  advance: (byMs: number) => Promise<void>
  /** Lets every pending promise settle without moving time. */
  settle: () => Promise<void>
  /** Timers that are set and not yet due. */
  pendingTimers: () => number
}

/** Rounds of the event loop that let chains of promises settle. */
const SETTLE_ROUNDS = 3

/**
 * A runtime at time 0, drawing from the given seed.
 */
export function createManualRuntime (options: { seed?: number, startMs?: number } = {}): ManualRuntime {
  const { seed = 1, startMs = 1_000_000 } = options
  const generator = xoroshiro128plus(seed)
  const timers = new Map<number, { atMs: number, run: () => void }>()
  let nowMs = 0
  let nextId = 0

  async function settle (): Promise<void> {
    for (let round = 0; round < SETTLE_ROUNDS; round++) await new Promise(resolve => { setImmediate(resolve) })
  }

  function nextDue (untilMs: number): number | undefined {
    let next: { id: number, atMs: number } | undefined
    for (const [id, { atMs }] of timers) if (atMs <= untilMs && (next === undefined || atMs < next.atMs)) next = { id, atMs }
    return next?.id
  }

  return {
    nowMs: () => startMs + nowMs,
    monotonicMs: () => nowMs,
    random: () => (generator.next() >>> 0) / DRAW_RANGE,
    setTimer (delayMs, run) {
      const id = nextId++
      timers.set(id, { atMs: nowMs + delayMs, run })
      return { [Symbol.dispose]: () => { timers.delete(id) } }
    },
    settle,
    pendingTimers: () => timers.size,
    async advance (byMs) {
      const untilMs = nowMs + byMs
      await settle()
      for (let id = nextDue(untilMs); id !== undefined; id = nextDue(untilMs)) {
        const timer = timers.get(id)!
        timers.delete(id)
        nowMs = Math.max(nowMs, timer.atMs)
        timer.run()
        await settle()
      }
      nowMs = untilMs
    }
  }
}
