/**
 * Decides on arrival whether a request waits for a place or is refused. It is meant for the load
 * pattern in which more requests arrive than places become free at all hosts together: a request
 * that would be refused later, or served after its caller has left, is refused at once.
 *
 * Requests that can still be in time go before late ones. A late one is therefore reached only by
 * the places that become free beyond the arrivals; under sustained excess there are none.
 */

/** What is known when a request arrives. */
export interface AdmissionFacts {
  /** Requests that wait and go before it, at all hosts. */
  waitingAhead: number
  /** Requests that could be placed now beside those in progress. */
  freePlaces: number
  /** Time for which no place has become free because layers are missing, in milliseconds; 0 if none are. It is expected to go on for as long again. */
  stalledMs?: number
  /** Rate at which places become free for requests of its rank, at all hosts. */
  placesPerS: number
  /** Rate at which requests arrive that go before it once it is late, at all hosts. */
  arrivalsPerS: number
  /** Longest wait after which it is still in time, in milliseconds; negative if it is late already. */
  onTimeMs: number
  /** Longest wait before its caller leaves, in milliseconds. */
  patienceMs: number
  /** Whether its caller was told to return now; nothing that is new goes before it. */
  isReturning: boolean
}

/** Decision on a request. */
export interface Admission {
  kind: 'wait' | 'refuse'
  /** Infinite if no place is expected. */
  expectedWaitMs: number
}

/** Milliseconds in a second. */
const MS_PER_S = 1_000

/**
 * @name decideAdmission
 * @summary Decides whether a request waits or is refused.
 * @param facts - Queues, room and the request's limits.
 * @returns The decision, with the wait that it rests on.
 *
 * @example
 * decideAdmission({ waitingAhead: 60, freePlaces: 0, placesPerS: 100, arrivalsPerS: 150, onTimeMs: 300, patienceMs: 1_500, isReturning: false }).kind // => 'refuse'
 */
export function decideAdmission ({ waitingAhead, freePlaces, stalledMs = 0, placesPerS, arrivalsPerS, onTimeMs, patienceMs, isReturning }: AdmissionFacts): Admission {
  const ahead = Math.max(0, waitingAhead - freePlaces)
  const expectedWaitMs = stalledMs + waitMs(ahead, placesPerS)
  if (expectedWaitMs <= Math.min(isReturning ? patienceMs : onTimeMs, patienceMs)) return { kind: 'wait', expectedWaitMs }
  const lateWaitMs = isReturning ? expectedWaitMs : stalledMs + waitMs(ahead, placesPerS - arrivalsPerS)
  return { kind: lateWaitMs <= patienceMs ? 'wait' : 'refuse', expectedWaitMs: lateWaitMs }
}

function waitMs (ahead: number, ratePerS: number): number {
  if (ahead === 0) return 0
  return ratePerS <= 0 ? Infinity : ahead / ratePerS * MS_PER_S
}
