/**
 * A runtime whose clock stands still until a test advances it.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { Runtime } from '../../src/runtime/types.js'

/** Number of values of a 32-bit draw; dividing by it scales a draw to [0, 1). */
const DRAW_RANGE = 2 ** 32

/** A runtime with its controls. */
export interface ManualRuntime extends Runtime {
  /** Advances the clock and runs every timer that falls due, in order, letting promises settle after each. */
  advance: (byMs: number) => Promise<void>
  /** Lets pending promises settle without advancing the clock. */
  settle: () => Promise<void>
  /** Number of timers that are set and have not fired. */
  pendingTimers: () => number
}

/** Turns of the event loop after which chains of promises have settled. */
const SETTLE_ROUNDS = 3

/**
 * Creates a runtime at monotonic time 0 whose random numbers follow from the seed; `startMs` is the
 * wall-clock time of the start in milliseconds.
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
