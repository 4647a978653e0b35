/**
 * Hands the bytes that connections have received on in slices, and leaves the rest for the next turn
 * of the event loop once a turn has taken long. One read of a connection can hold thousands of
 * short chunks, each of which costs the HTTP parser a call.
 */
import type { Duplex } from 'node:stream'

/** Size of a slice, in bytes. */
const SLICE_BYTES = 4_096

/** Time of a turn after which connections get no further slice in it, in milliseconds. */
const TURN_MS = 5

/** Slices the input of connections that share the time of the event loop. */
export interface InputSlicer {
  /** Slices what a connection receives from now on; each gets one slice a turn at least. */
  slice: (connection: Duplex) => void
}

interface InputSlicerOptions {
  monotonicMs: () => number
  /** Runs a function in the next turn of the event loop. */
  defer?: (run: () => void) => unknown
  sliceBytes?: number
  turnMs?: number
}

/** Creates a slicer. */
export function createInputSlicer ({ monotonicMs, defer = setImmediate, sliceBytes = SLICE_BYTES, turnMs = TURN_MS }: InputSlicerOptions): InputSlicer {
  /** Time spent on slices in this turn. */
  let spentMs = 0
  let isTurnAwaited = false

  function awaitTurn (): void {
    if (isTurnAwaited) return
    isTurnAwaited = true
    defer(() => {
      isTurnAwaited = false
      spentMs = 0
    })
  }

  return {
    slice (connection) {
      const pushOn = connection.push.bind(connection)
      /** Reads that wait for a later turn; `null` is the end. */
      let held: Array<Buffer | null> = []

      /** Hands slices on while there is time; returns whether the connection may be read on. */
      const handOn = (): boolean => {
        let mayReadOn = true
        for (let isFirst = true; held.length > 0; isFirst = false) {
          if (!isFirst && spentMs >= turnMs) {
            awaitTurn()
            defer(goOn)
            return false
          }
          const first = held[0]!
          if (first !== null && first.length > sliceBytes) held[0] = first.subarray(sliceBytes)
          else held.shift()
          const beganMs = monotonicMs()
          mayReadOn = pushOn(first?.subarray(0, sliceBytes) ?? null)
          spentMs += monotonicMs() - beganMs
          awaitTurn()
        }
        return mayReadOn
      }
      const goOn = (): void => {
        if (connection.destroyed) held = []
        else handOn()
        if (held.length === 0) connection.read(0)
      }
      connection.push = (bytes: Buffer | null) => {
        if (held.length === 0 && (bytes === null || bytes.length <= sliceBytes)) return pushOn(bytes)
        held.push(bytes)
        return held.length === 1 && handOn()
      }
      // Nothing more is read while slices wait.
      const readOn = connection._read.bind(connection)
      connection._read = sizeBytes => { if (held.length === 0) readOn(sizeBytes) }
    }
  }
}
