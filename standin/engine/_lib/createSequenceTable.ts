/**
 * The sequences of a stand-in engine: running ones, ones held without a caller, and the ones that
 * ended most recently.
 */
import type { HeldSequence } from '../../../src/engine/types.js'
import type { Runtime } from '../../../src/runtime/types.js'
import type { EndedSequence, Sequence } from '../types.js'

/** How long a sequence keeps its KV cache after its caller's connection closed, in milliseconds. */
const HOLD_MS = 10_000

/** Number of ended sequences whose latest attempt and tokens are kept. */
const MAX_ENDED_SEQUENCES = 5_000

/** Sequences by request id. */
export interface SequenceTable extends Disposable {
  get: (request: string) => Sequence | undefined
  /** Highest attempt seen for a request; 0 for an unknown request. */
  latestAttempt: (request: string) => number
  put: (sequence: Sequence) => void
  /** Frees a finished sequence and keeps its tokens. */
  end: (sequence: Sequence) => void
  /** Frees a sequence, unless a newer attempt runs. */
  cancel: (request: string, attempt: number) => void
  /** Holds a sequence without a caller for `HOLD_MS`, then frees it. */
  holdSequence: (request: string, attempt: number) => void
  /** State of a running, held or recently ended sequence. */
  held: (request: string) => HeldSequence | undefined
  /** Number of running and held sequences. */
  count: () => number
}

/** Creates an empty table. */
export function createSequenceTable ({ runtime }: { runtime: Runtime }): SequenceTable {
  const sequences = new Map<string, Sequence>()
  const ended = new Map<string, EndedSequence>()

  function remove (sequence: Sequence, tokens: string[]): void {
    const { request, attempt, firstPosition, nextPosition } = sequence
    sequence.hold?.[Symbol.dispose]()
    if (sequences.get(request) === sequence) sequences.delete(request)
    remember(request, { attempt, firstPosition, nextPosition, tokens })
  }

  function remember (request: string, end: EndedSequence): void {
    ended.delete(request)
    ended.set(request, end)
    if (ended.size > MAX_ENDED_SEQUENCES) ended.delete(ended.keys().next().value!)
  }

  return {
    get: request => sequences.get(request),
    latestAttempt: request => Math.max(sequences.get(request)?.attempt ?? 0, ended.get(request)?.attempt ?? 0),
    put (sequence) {
      sequences.get(sequence.request)?.hold?.[Symbol.dispose]()
      sequences.set(sequence.request, sequence)
    },
    end: sequence => remove(sequence, sequence.tokens),
    cancel (request, attempt) {
      const sequence = sequences.get(request)
      if (sequence !== undefined && sequence.attempt <= attempt) remove(sequence, [])
      // Recorded so that an open request that arrives after its own cancellation is refused.
      if (sequence === undefined && !ended.has(request)) remember(request, { attempt, firstPosition: 0, nextPosition: 0, tokens: [] })
    },
    holdSequence (request, attempt) {
      const sequence = sequences.get(request)
      if (sequence?.attempt !== attempt || sequence.hold !== undefined) return
      sequence.hold = runtime.setTimer(HOLD_MS, () => remove(sequence, []))
    },
    held (request) {
      const sequence = sequences.get(request)
      if (sequence === undefined) {
        const end = ended.get(request)
        return end === undefined ? undefined : { ...end, state: 'ended', keptPositions: 0, busy: false }
      }
      const { attempt, firstPosition, nextPosition, kv, tokens, queued, next, hold } = sequence
      const state = hold === undefined ? 'running' : 'held'
      return { state, attempt, firstPosition, nextPosition, keptPositions: kv.length, busy: queued > 0, tokens, ...(next === undefined ? {} : { next }) }
    },
    count: () => sequences.size,
    [Symbol.dispose] () {
      for (const sequence of sequences.values()) sequence.hold?.[Symbol.dispose]()
    }
  }
}
