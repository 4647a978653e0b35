/**
 * Decides which streams are moved now when engines are lost. Meant for the loss of a group of engines
 * that hundreds of streams on many hosts run through: moved all at once, they meet on the few
 * engines with the same layers, which stop to read them, run out of memory and refuse the rest, and
 * refused moves come again. A moved stream reads all its tokens again on its new engines, so those with
 * the fewest go first: most answers go on in time for what the engines read.
 */
import type { Path } from '../../fleet/types.js'

/** A stream through a lost or leaving engine, whose first engine is up. */
export interface StrandedStream {
  id: string
  /** Tokens that a new engine reads, at most. */
  tokens: number
  /** Time since its last event, in milliseconds. */
  pausedMs: number
  /** Moves that engines refused since its last event. */
  refusals: number
  /** Whether it may be ended here and resumed on another path. */
  mayResume: boolean
}

/** What becomes of a stranded stream now; those that are not listed wait. */
export type Move =
  | { kind: 'move', id: string, path: Path }
  | { kind: 'resume', id: string }

interface MoveOptions {
  /** Finds a new path over engines that can take the stream now, and counts the move on them if there is one. */
  choosePath: (stream: StrandedStream) => Path | undefined
}

/** Refused moves after which a stream is resumed on another path instead. */
const MAX_REFUSALS = 2

/** Pause after which a stream that finds no engine is resumed, in milliseconds: half of the time after which callers leave a silent stream. */
const MAX_PAUSE_MS = 1_000

/** Streams without a path after which the others wait for the next check: they need the same engines. */
const MAX_FAILED_CHOICES = 2

/**
 * @name planMoves
 * @summary Chooses the stranded streams that are moved or resumed now.
 * @param streams - Stranded streams of this host.
 * @param options - How to find a path.
 * @returns The moves, in their order.
 *
 * @example
 * for (const move of planMoves(streams, { choosePath })) carryOut(move)
 */
export function planMoves (streams: readonly StrandedStream[], { choosePath }: MoveOptions): Move[] {
  const moves: Move[] = []
  let failedChoices = 0
  for (const stream of [...streams].sort((a, b) => a.tokens - b.tokens || b.pausedMs - a.pausedMs)) {
    if (stream.mayResume && stream.refusals >= MAX_REFUSALS) {
      moves.push({ kind: 'resume', id: stream.id })
      continue
    }
    const path = failedChoices < MAX_FAILED_CHOICES ? choosePath(stream) : undefined
    if (path !== undefined) moves.push({ kind: 'move', id: stream.id, path })
    else if (stream.mayResume && stream.pausedMs >= MAX_PAUSE_MS) moves.push({ kind: 'resume', id: stream.id })
    else failedChoices++
  }
  return moves
}
