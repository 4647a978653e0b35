/**
 * The queue of a service as callers see it, and the figures of queues that hosts tell each other.
 */
import type { ServiceRoom } from '../room/types.js'
import type { ReturnPlan } from './planReturn/index.js'

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
  /** Absent where the room of the targets is not computed. */
  freePlaces?: number
  /** Age of what was known of other hosts; `null` for a host that heard none. */
  knownAgeMs: number | null
}

/** A request that needs a place. */
export interface PlaceRequest<Place> {
  /** Priority; lower values are served first. */
  rank: number
  /** Client account; among requests of equal rank, the account that was served least goes first. */
  account: string
  /** Whether the caller already has a part of the answer. */
  hasBegun: boolean
  /** Longest time to wait for a place, in milliseconds; at 0 or less the request is never queued. Has no effect once the answer has begun. */
  maxWaitMs: number
  /** Longest wait after which the answer is still in time, in milliseconds; `maxWaitMs` by default. */
  onTimeMs?: number
  /** Whether its caller was refused before and returns no earlier than it was told. */
  isReturning?: boolean
  /** Reserves a place and returns it, or returns `undefined` if none is free. */
  tryReservePlace: () => Place | undefined
  /** Whether a place may still become free; if not, the request is refused instead of queued, unless its answer has begun. */
  isPlaceExpected: () => boolean
  /** Whether no place can become free until lost layers are loaded again. */
  isStalled?: () => boolean
  /** Aborts when the caller goes away. */
  signal: AbortSignal
}

/** Result of a request for a place. */
export type PlaceOutcome<Place> =
  | { kind: 'placed', place: Place, waitedMs: number }
  /** No place is expected before the caller leaves. */
  | { kind: 'refused', waitedMs: number, queueLength: number, figures: AdmissionFigures }
  | { kind: 'aborted' }

/** The queue of one service. */
export interface Dispatcher<Place> {
  /** Resolves when the request has a place, is refused or is aborted. */
  request: (placeRequest: PlaceRequest<Place>) => Promise<PlaceOutcome<Place>>
  /** Assigns free places to queued requests and refuses those for which no place is expected. */
  dispatch: () => void
  queueLength: () => number
  /** Room and queues of the service, as this host knows them. */
  view: () => QueueView
  /** Plans when a refused caller returns; `undefined` while no more is asked for than is served. */
  planReturn: (refused: { rank: number, leftMs: number, expectedWaitMs: number }) => ReturnPlan | undefined
  /** Time since the first try of a request, from the time that it brings; 0 if it is as long as that of new ones of its kind. */
  elapsedMs: (kind: string, deadlineMs: number) => number
  /** Notes the time from a place to the first event of an answer, in milliseconds. */
  noteFirstEvent: (tookMs: number) => void
  /** Usual time from a place to the first event, in milliseconds; 0 before the first. */
  firstEventMs: () => number
}
