/**
 * Figures of the queues of a service that hosts tell each other, and what one host makes of them.
 */
import type { ServiceRoom } from '../room/types.js'

/** Requests of one rank, summed over hosts. */
export interface RankFigures {
  rank: number
  /** Requests that wait. */
  waiting: number
  /** Hosts at which some wait. */
  waitingHosts: number
  /** Times to return that were handed out and are not over. */
  promised: number
  /** Requests that arrived, and that got a place, in the last second. */
  arrivalsPerS: number
  placesPerS: number
}

/** Room and queues of a service over all hosts. */
export interface QueueView {
  room: ServiceRoom
  /** Figures by rank, most urgent first. */
  ranks: readonly RankFigures[]
}

/** Figures that decided on a request, for its log line. */
export interface AdmissionFigures {
  /** `null` if no place is expected. */
  expectedWaitMs: number | null
  waitingAhead: number
  placesPerS: number
  freePlaces: number
  /** Age of what was known of other hosts; `null` for a host that heard none. */
  knownAgeMs: number | null
}
