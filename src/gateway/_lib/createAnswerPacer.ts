/**
 * Lets answers that arrive in very many short chunks wait for each other: only one of them goes on
 * in a turn of the event loop, and only for a bounded number of chunks, so that all other work is
 * done in between. An answer whose chunks come in one by one never waits.
 */
import type { Readable } from 'node:stream'

/** Chunks of one answer that are handled in a turn of the event loop. */
const CHUNKS_PER_TURN = 512

/** An answer that is read at the pace that the event loop allows. */
export interface PacedAnswer {
  /** Counts a chunk; the answer pauses if it is the last one for this turn. */
  noteChunk: () => void
  /** Pauses the answer until `resume` was called as often. */
  pause: () => void
  resume: () => void
}

/** Paces the answers of a host. */
export interface AnswerPacer {
  pace: (answer: Pick<Readable, 'pause' | 'resume'>) => PacedAnswer
}

/** Creates a pacer; `defer` runs a function in the next turn of the event loop. */
export function createAnswerPacer ({ defer = setImmediate, chunksPerTurn = CHUNKS_PER_TURN }: { defer?: (run: () => void) => unknown, chunksPerTurn?: number } = {}): AnswerPacer {
  const waiting: Array<() => void> = []
  let turn = 0
  let isTurnAwaited = false

  function awaitTurn (): void {
    if (isTurnAwaited) return
    isTurnAwaited = true
    defer(() => {
      isTurnAwaited = false
      turn++
      waiting.shift()?.()
      if (waiting.length > 0) awaitTurn()
    })
  }

  return {
    pace (answer) {
      let pauses = 0
      let chunks = 0
      let countedTurn = turn
      const pause = (): void => {
        pauses++
        answer.pause()
      }
      const resume = (): void => { if (--pauses === 0) answer.resume() }
      return {
        pause,
        resume,
        noteChunk () {
          if (countedTurn !== turn) {
            countedTurn = turn
            chunks = 0
          }
          chunks++
          // Chunks that come one by one, as those of most streams, cost no extra turn each.
          if (2 * chunks >= chunksPerTurn) awaitTurn()
          if (chunks !== chunksPerTurn) return
          pause()
          waiting.push(resume)
        }
      }
    }
  }
}
