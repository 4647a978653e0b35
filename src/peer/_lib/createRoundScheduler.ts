/**
 * Schedules the gossip rounds of all streams: at jittered intervals, and shortly after an urgent
 * change. Urgent changes that happen close together share one extra round.
 */
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'

/** How long urgent changes are collected before the extra round; also the wait between batches of a long list. */
export const FLUSH_DELAY_MS = 50

/** Timing of the gossip rounds on one daemon's streams. */
export interface RoundScheduler {
  /** Resolves when the next round of a stream is due, soon if it has `more` to send, or when the signal aborts. */
  waitForRound: (options: { more: boolean, signal: AbortSignal }) => Promise<void>
  /** Starts the next round of every stream after FLUSH_DELAY_MS. */
  flushSoon: () => void
}

/** A scheduler; `beforeFlush` is called before each extra round. */
export function createRoundScheduler (options: { intervalMs: number, runtime: Runtime, beforeFlush: () => void }): RoundScheduler {
  const { intervalMs, runtime, beforeFlush } = options
  /** Abort controllers of the waits in progress. */
  const waits = new Set<AbortController>()
  let isFlushScheduled = false

  function flush (): void {
    isFlushScheduled = false
    beforeFlush()
    for (const wait of waits) wait.abort()
  }

  return {
    async waitForRound ({ more, signal }) {
      const wait = new AbortController()
      const abortWait = (): void => wait.abort()
      signal.addEventListener('abort', abortWait, { once: true })
      waits.add(wait)
      const delayMs = more ? FLUSH_DELAY_MS : intervalMs * (0.5 + runtime.random())
      await sleep(delayMs, { runtime, signal: wait.signal })
      waits.delete(wait)
      signal.removeEventListener('abort', abortWait)
    },
    flushSoon () {
      if (isFlushScheduled) return
      isFlushScheduled = true
      runtime.setTimer(FLUSH_DELAY_MS, flush)
    }
  }
}
