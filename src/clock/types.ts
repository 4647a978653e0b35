/**
 * Timestamps of a hybrid logical clock: wall time that never decreases along a chain of messages.
 */

/** A timestamp. Timestamps are ordered by `wallMs`, then `counter`, then the process that issued them. */
export interface HybridTimestamp {
  /** Highest wall clock time seen so far, in milliseconds since the Unix epoch. */
  wallMs: number
  /** Orders events with the same `wallMs`. */
  counter: number
}

/** A clock that is advanced by local events and by timestamps of other processes. */
export interface HybridClock {
  /** Returns a timestamp higher than every timestamp issued or observed before. */
  tick: () => HybridTimestamp
  /** Advances the clock to a timestamp received with a message, if that is higher. */
  observe: (timestamp: HybridTimestamp) => void
}
