/**
 * Says from which pause on a stream's engines are in doubt. Meant for an overload in which events come slowly
 * everywhere: with fixed limits every pause has the engines of the stream probed, and nearly all of them are up.
 */

/** What a limit depends on. */
export interface PausingStream {
  hasStarted: boolean
  /** Moving average of the pause between its events, in milliseconds. */
  meanPauseMs: number
  /** Monotonic time of the last event, or of the start. */
  lastProgressMs: number
}

/** Limits of one host. */
export interface PauseLimits<Stream extends PausingStream> {
  /** Looks at the streams in progress, many times a second. */
  observe: (streams: Iterable<Stream>) => void
  /** Pause after which the engines of a stream are in doubt, in milliseconds. */
  limitMs: (stream: Stream) => number
}

/** Pause of a running stream that counts: a multiple of its mean pause, clamped to bounds in milliseconds. */
const PAUSE_FACTOR = 4
const PAUSE_MIN_MS = 40
const PAUSE_MAX_MS = 110

/** Multiple of what is usual below which no pause counts, as busy engines vary by as much. */
const USUAL_FACTOR = 2

/** The same before the first event, while the engines process the prompt; at most half of the time after which callers leave a silent stream. */
const FIRST_EVENT_PAUSE_MS = 400
const FIRST_EVENT_PAUSE_MAX_MS = 1_000

/** Weight of a stream's first event in the mean of the host. */
const MEAN_WEIGHT = 0.1

/**
 * @name createPauseLimits
 * @summary Creates the limits of a host that has seen no stream.
 * @returns The limits.
 *
 * @example
 * limits.observe(streams)
 * if (pausedMs >= limits.limitMs(stream)) probe(stream)
 */
export function createPauseLimits<Stream extends PausingStream> (): PauseLimits<Stream> {
  /** Start of each stream that has sent no event yet. */
  const startedMs = new WeakMap<Stream, number>()
  let meanFirstEventMs = 0
  return {
    observe (streams) {
      for (const stream of streams) {
        const startMs = startedMs.get(stream)
        if (!stream.hasStarted) {
          if (startMs === undefined) startedMs.set(stream, stream.lastProgressMs)
        } else if (startMs !== undefined) {
          startedMs.delete(stream)
          meanFirstEventMs += MEAN_WEIGHT * (stream.lastProgressMs - startMs - meanFirstEventMs)
        }
      }
    },
    limitMs ({ hasStarted, meanPauseMs }) {
      if (!hasStarted) return Math.min(FIRST_EVENT_PAUSE_MAX_MS, Math.max(FIRST_EVENT_PAUSE_MS, USUAL_FACTOR * meanFirstEventMs))
      const usualMs = Math.min(FIRST_EVENT_PAUSE_MS, USUAL_FACTOR * meanPauseMs)
      return Math.max(usualMs, Math.min(PAUSE_MAX_MS, Math.max(PAUSE_MIN_MS, PAUSE_FACTOR * meanPauseMs)))
    }
  }
}
