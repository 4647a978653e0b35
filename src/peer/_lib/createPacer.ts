/**
 * When the rounds of all streams take place: at jittered intervals, and soon after an urgent
 * change, with changes that fall together sharing one extra round.
 */
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'

/** Wait in which urgent changes are gathered, and between portions of a long list. */
export const FLUSH_AFTER_MS = 50

/** Pace of one daemon's streams. */
export interface Pacer {
  /** Resolves when the next round of a stream is due. */
  nextRound: (options: { more: boolean, signal: AbortSignal }) => Promise<void>
  /** Brings the next round of every stream forward. */
  flushSoon: () => void
}

/** A pacer; `beforeFlush` runs ahead of each round that was brought forward. */
export function createPacer (options: { intervalMs: number, runtime: Runtime, beforeFlush: () => void }): Pacer {
  const { intervalMs, runtime, beforeFlush } = options
  const waits = new Set<AbortController>()
  let pending = false

  function flush (): void {
    pending = false
    beforeFlush()
    for (const wait of waits) wait.abort()
  }

  return {
    async nextRound ({ more, signal }) {
      const wait = new AbortController()
      const follow = (): void => wait.abort()
      signal.addEventListener('abort', follow, { once: true })
      waits.add(wait)
      const delayMs = more ? FLUSH_AFTER_MS : intervalMs * (0.5 + runtime.random())
      await sleep(delayMs, { runtime, signal: wait.signal })
      waits.delete(wait)
      signal.removeEventListener('abort', follow)
    },
    flushSoon () {
      if (pending) return
      pending = true
      runtime.setTimer(FLUSH_AFTER_MS, flush)
    }
  }
}
