/**
 * What a host knows of the room and the queues of one service over all hosts. Decisions on who
 * waits, who is refused and when callers return share this view.
 */

/** Room of a service, and what waits for it. */
export interface ServiceRoom {
  /** Requests of usual size that the serving targets could take now beside those in progress. */
  freePlaces: number
  /** Requests of usual size that the serving targets hold at most. */
  totalPlaces: number
  /** Places that were assigned in the last second by all hosts. */
  placesPerS: number
  /** Requests that wait at all hosts, this one included, by rank; lower ranks are served first. */
  waitingByRank: ReadonlyMap<number, number>
  /** Mean age of what is known of other hosts, in milliseconds; infinite for a host that hears none although there are some. */
  ageMs: number
  /** Number of hosts, this one included. */
  hostCount: number
}
