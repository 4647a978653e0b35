/**
 * Queue of the requests that wait for capacity of one service. It is meant for the load pattern
 * in which part of the fleet is lost and more requests arrive than the rest can hold.
 *
 * A place is capacity reserved for one request on a target or on a path of engines. Requests wait
 * on the host and not in the engines, ordered by rank, then by the number of requests that their
 * account had served, then by arrival. A request is refused on arrival if the requests ahead of
 * it would take longer than its maximum wait, estimated from the rate at which places were
 * assigned recently.
 *
 * A request whose answer has begun can no longer be refused, only cut off. It therefore goes before
 * all others and waits until it has a place or is aborted.
 */
import type { Runtime } from '../../runtime/types.js'

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
  /** Reserves a place and returns it, or returns `undefined` if none is free. */
  tryReservePlace: () => Place | undefined
  /** Whether a place may still become free; if not, the request is refused instead of queued, unless its answer has begun. */
  isPlaceExpected: () => boolean
  /** Aborts when the caller goes away. */
  signal: AbortSignal
}

/** Result of a request for a place. */
export type PlaceOutcome<Place> =
  | { kind: 'placed', place: Place, waitedMs: number }
  /** No place became free within the maximum wait, or none is expected to. */
  | { kind: 'refused', waitedMs: number, queueLength: number }
  | { kind: 'aborted' }

/** The queue of one service. */
export interface Dispatcher<Place> {
  /** Resolves when the request has a place, is refused or is aborted. */
  request: (placeRequest: PlaceRequest<Place>) => Promise<PlaceOutcome<Place>>
  /** Assigns free places to queued requests and refuses those for which no place is expected. */
  dispatch: () => void
  queueLength: () => number
}

/** Interval at which free places are assigned to queued requests, in milliseconds; each round may choose several paths. */
const DISPATCH_INTERVAL_MS = 25

/** Maximum number of queued requests; a request that arrives at a full queue is refused. */
const MAX_QUEUE_LENGTH = 300

/** Time over which the rate of assigned places is measured, in milliseconds; about the longest maximum wait. */
const RATE_WINDOW_MS = 1_500

/** Least rate of places to assume, as few or none are assigned right after a fault that is being repaired. */
const MIN_RATE_PER_S = 4

/** Milliseconds in a second. */
const MS_PER_S = 1_000

/** Failed reservations after which a round stops; the rest of the queue is tried in the next round. */
const MAX_FAILED_TRIES_PER_ROUND = 2

/** A queued request. */
interface QueueEntry<Place> {
  placeRequest: PlaceRequest<Place>
  /** Monotonic time of arrival, in milliseconds. */
  arrivedMs: number
  /** Monotonic time of the last try, or of arrival, in milliseconds. */
  triedMs: number
  /** Releases the timer and the abort listener, and resolves the promise of the request. */
  settle: (outcome: PlaceOutcome<Place>) => void
}

/**
 * @name createDispatcher
 * @summary Creates an empty queue for one service.
 * @param options - The runtime.
 * @returns The dispatcher.
 *
 * @example
 * const outcome = await dispatcher.request({ rank: 1, account, maxWaitMs: 500, tryReservePlace, isPlaceExpected, signal })
 */
export function createDispatcher<Place> (options: { runtime: Runtime }): Dispatcher<Place> {
  const { runtime } = options
  let queue: Array<QueueEntry<Place>> = []
  /** Number of requests of each account that got a place from the queue since it was last empty. */
  let servedByAccount = new Map<string, number>()

  function removeAndSettle (entry: QueueEntry<Place>, outcome: PlaceOutcome<Place>): void {
    queue = queue.filter(other => other !== entry)
    if (queue.length === 0) servedByAccount = new Map()
    entry.settle(outcome)
  }

  /** Monotonic times at which places were assigned within the rate window, in milliseconds. */
  let assignmentTimesMs: number[] = []

  function recordAssignment (): void {
    assignmentTimesMs.push(runtime.monotonicMs())
  }

  /** Number of queued requests that can still be refused. */
  const newLength = (): number => queue.filter(entry => !entry.placeRequest.hasBegun).length

  /** Estimated time until a request at the end of the queue gets a place, in milliseconds. */
  function estimateWaitMs (): number {
    assignmentTimesMs = assignmentTimesMs.filter(atMs => runtime.monotonicMs() - atMs < RATE_WINDOW_MS)
    const ratePerS = Math.max(MIN_RATE_PER_S, assignmentTimesMs.length * MS_PER_S / RATE_WINDOW_MS)
    return newLength() / ratePerS * MS_PER_S
  }

  const waitedMs = (entry: QueueEntry<Place>): number => runtime.monotonicMs() - entry.arrivedMs

  function refuse (entry: QueueEntry<Place>): void {
    removeAndSettle(entry, { kind: 'refused', waitedMs: waitedMs(entry), queueLength: queue.length })
  }

  let isDispatchScheduled = false

  /** Dispatches after the interval, and again while requests are queued. */
  function scheduleDispatch (): void {
    if (isDispatchScheduled) return
    isDispatchScheduled = true
    runtime.setTimer(DISPATCH_INTERVAL_MS, () => {
      isDispatchScheduled = false
      dispatch()
      if (queue.length > 0) scheduleDispatch()
    })
  }

  function dispatch (): void {
    // Counted apart, as a begun request may only fail because it excludes the targets that failed it; begun ones take turns.
    const failedTries = { begun: 0, new: 0 }
    for (const entry of sortQueue(queue, servedByAccount)) {
      const { hasBegun } = entry.placeRequest
      if (!hasBegun && !entry.placeRequest.isPlaceExpected()) {
        refuse(entry)
        continue
      }
      const group = hasBegun ? 'begun' : 'new'
      if (failedTries[group] >= MAX_FAILED_TRIES_PER_ROUND) continue
      entry.triedMs = runtime.monotonicMs()
      const place = entry.placeRequest.tryReservePlace()
      if (place === undefined) {
        failedTries[group]++
        continue
      }
      const { account } = entry.placeRequest
      recordAssignment()
      servedByAccount.set(account, (servedByAccount.get(account) ?? 0) + 1)
      removeAndSettle(entry, { kind: 'placed', place, waitedMs: waitedMs(entry) })
    }
  }

  return {
    dispatch,
    queueLength: () => queue.length,
    request (placeRequest) {
      const { hasBegun, maxWaitMs, signal } = placeRequest
      if (queue.length === 0) {
        const place = placeRequest.tryReservePlace()
        if (place !== undefined) {
          recordAssignment()
          return Promise.resolve({ kind: 'placed', place, waitedMs: 0 })
        }
      }
      if (!hasBegun && (newLength() >= MAX_QUEUE_LENGTH || maxWaitMs <= 0 || estimateWaitMs() > maxWaitMs || !placeRequest.isPlaceExpected())) {
        return Promise.resolve({ kind: 'refused', waitedMs: 0, queueLength: queue.length })
      }
      return new Promise(resolve => {
        const entry: QueueEntry<Place> = {
          placeRequest,
          arrivedMs: runtime.monotonicMs(),
          triedMs: runtime.monotonicMs(),
          settle (outcome) {
            timer?.[Symbol.dispose]()
            signal.removeEventListener('abort', abort)
            resolve(outcome)
          }
        }
        const abort = (): void => removeAndSettle(entry, { kind: 'aborted' })
        const timer = hasBegun ? undefined : runtime.setTimer(maxWaitMs, () => refuse(entry))
        if (signal.aborted) return abort()
        signal.addEventListener('abort', abort, { once: true })
        queue.push(entry)
        scheduleDispatch()
      })
    }
  }
}

/** Queued requests: first those that have begun, by their last try; then the others by rank, by how often their account was served, and by arrival. */
function sortQueue<Place> (queue: ReadonlyArray<QueueEntry<Place>>, servedByAccount: ReadonlyMap<string, number>): Array<QueueEntry<Place>> {
  const servedCount = (entry: QueueEntry<Place>): number => servedByAccount.get(entry.placeRequest.account) ?? 0
  const begun = queue.filter(entry => entry.placeRequest.hasBegun).sort((a, b) => a.triedMs - b.triedMs)
  const others = queue.filter(entry => !entry.placeRequest.hasBegun)
  return [...begun, ...others.sort((a, b) => a.placeRequest.rank - b.placeRequest.rank || servedCount(a) - servedCount(b) || a.arrivedMs - b.arrivedMs)]
}
