/**
 * Hybrid logical clock stamps: wall time that never runs backwards along any chain of messages.
 */

/** One stamp; stamps order by `wallMs`, then `counter`, then the process that gave them. */
export interface HybridStamp {
  /** Highest wall clock seen so far, in milliseconds since the Unix epoch. */
  wallMs: number
  /** Orders events that share `wallMs`. */
  counter: number
}

/** A clock that is advanced by local events and by stamps of other processes. */
export interface HybridClock {
  /** A stamp above every stamp given or observed before. */
  tick: () => HybridStamp
  /** Takes note of a stamp that came with a message. */
  observe: (stamp: HybridStamp) => void
}
