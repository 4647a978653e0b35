/**
 * Queue of the requests that wait for capacity of one service. It is meant for the load pattern
 * in which part of the fleet is lost, or demand swings, and more requests arrive than the rest can hold.
 *
 * A place is capacity reserved for one request on a target or on a path of engines. Requests wait
 * on the host and not in the engines. Whether a request waits, in which order places are assigned
 * and when a refused caller returns is decided by pure functions beside this module, from the
 * queues of all hosts as far as this one hears of them. A queued request is refused as soon as it
 * is known that it cannot be served before its caller leaves.
 *
 * A request whose answer has begun can no longer be refused, only cut off. It waits until it has a
 * place or is aborted, and goes before new ones for its share of the places.
 */
import type { Runtime } from '../../runtime/types.js'
import { createPlaceCounts } from '../_lib/createPlaceCounts.js'
import { createQueueJudge, type JudgedRequest } from '../_lib/createQueueJudge.js'
import { createReturnBook } from '../_lib/createReturnBook.js'
import { createOwnSharing, type QueueSharing } from '../_lib/queueFigures.js'
import { RETURN_SHARE } from '../planReturn/index.js'
import { isPreferredTurn, takeTurns } from '../takeTurns/index.js'
import type { AdmissionFigures, Dispatcher, PlaceOutcome, PlaceRequest } from '../types.js'

export type { Dispatcher, PlaceOutcome, PlaceRequest } from '../types.js'

/** Interval at which free places are assigned to queued requests, in milliseconds; each round may choose several paths. */
const DISPATCH_INTERVAL_MS = 25

/** Interval at which figures are published while nothing is queued, in milliseconds. */
const PUBLISH_INTERVAL_MS = 250

/** Maximum number of queued requests; a request that arrives at a full queue is refused. */
const MAX_QUEUE_LENGTH = 300

/** Failed reservations after which a round stops; the rest of the queue is tried in the next round. */
const MAX_FAILED_TRIES_PER_ROUND = 2

/** Share of the places that requests whose answer has begun get while new ones wait; a cut answer loses its caller more than a refusal. */
const BEGUN_SHARE = 2 / 3

/** Time for which a queued request must be found hopeless before it is refused, in milliseconds: longer than the figures of other hosts are old. */
const HOPELESS_MS = 200

/** Weight of the latest time to a first event in the usual one. */
const FIRST_EVENT_WEIGHT = 0.05

/** A queued request. */
interface QueueEntry<Place> extends JudgedRequest {
  placeRequest: PlaceRequest<Place>
  /** Monotonic time of the last try, or of arrival, in milliseconds. */
  triedMs: number
  /** Since when no place is expected before its caller leaves. */
  hopelessSinceMs: number | undefined
  /** Releases the timer and the abort listener, and resolves the promise of the request. */
  settle: (outcome: PlaceOutcome<Place>) => void
}

/**
 * @name createDispatcher
 * @summary Creates an empty queue for one service.
 * @param options - The runtime, and where the queue's figures are shared with other hosts.
 * @returns The dispatcher.
 *
 * @example
 * const outcome = await dispatcher.request({ rank: 1, account, maxWaitMs: 500, tryReservePlace, isPlaceExpected, signal })
 */
export function createDispatcher<Place> (options: { runtime: Runtime, sharing?: QueueSharing }): Dispatcher<Place> {
  const { runtime, sharing = createOwnSharing() } = options
  const judge = createQueueJudge({ runtime, sharing })
  const returns = createReturnBook({ runtime })
  const begunCounts = createPlaceCounts({ runtime })
  const returnCounts = createPlaceCounts({ runtime })
  let queue: Array<QueueEntry<Place>> = []
  let firstEventMs: number | undefined

  const listBegun = (): Array<QueueEntry<Place>> => queue.filter(({ placeRequest }) => placeRequest.hasBegun)
  /** Queued requests that can still be refused. */
  const listNew = (): Array<QueueEntry<Place>> => queue.filter(({ placeRequest }) => !placeRequest.hasBegun)
  const orderNew = (entries: ReadonlyArray<QueueEntry<Place>>): Array<QueueEntry<Place>> => judge.order(entries, isPreferredTurn(returnCounts.counts(), RETURN_SHARE))
  const waitedMs = (entry: QueueEntry<Place>): number => runtime.monotonicMs() - entry.arrivedMs

  function removeAndSettle (entry: QueueEntry<Place>, outcome: PlaceOutcome<Place>): void {
    queue = queue.filter(other => other !== entry)
    entry.settle(outcome)
  }

  function refuse (entry: QueueEntry<Place>): void {
    const { figures } = judgeEntry(entry, orderNew(listNew()))
    removeAndSettle(entry, { kind: 'refused', waitedMs: waitedMs(entry), queueLength: queue.length, figures })
  }

  function judgeEntry (entry: QueueEntry<Place>, ordered: ReadonlyArray<QueueEntry<Place>>): ReturnType<typeof judge.judge> {
    return judge.judge(entry, ordered.slice(0, ordered.indexOf(entry)), { isQueued: true, stalledMs: stalledMs() })
  }

  function recordPlace ({ rank, account, hasBegun, isReturning = false }: PlaceRequest<Place>): void {
    // Counted only while both kinds wait, as a share of the places is due to each only then.
    if (hasBegun ? listNew().length > 0 : listBegun().length > 0) begunCounts.add(hasBegun)
    if (hasBegun) return
    judge.record.countPlace(rank, account)
    if (isReturning ? listNew().some(entry => !entry.isReturning) : listNew().some(entry => entry.isReturning)) returnCounts.add(isReturning)
  }

  function publish (): void {
    judge.publish(listNew(), returns.promised)
  }

  let stalledSinceMs: number | undefined

  /** Notes whether layers are missing, as the latest request finds. */
  function noteStall ({ isStalled }: PlaceRequest<Place>): void {
    stalledSinceMs = isStalled?.() === true ? stalledSinceMs ?? runtime.monotonicMs() : undefined
  }

  const stalledMs = (): number => stalledSinceMs === undefined ? 0 : runtime.monotonicMs() - stalledSinceMs

  let round: { intervalMs: number, timer: Disposable } | undefined

  /** Dispatches after an interval, and again while requests are queued or the figures of this host are not zero. */
  function scheduleRound (): void {
    const intervalMs = queue.length > 0 ? DISPATCH_INTERVAL_MS : PUBLISH_INTERVAL_MS
    if (round !== undefined && round.intervalMs <= intervalMs) return
    round?.timer[Symbol.dispose]()
    const timer = runtime.setTimer(intervalMs, () => {
      round = undefined
      dispatch()
      if (queue.length > 0 || judge.record.isRecent()) scheduleRound()
    })
    round = { intervalMs, timer }
  }

  function dispatch (): void {
    // Counted apart, as a begun request may only fail because it excludes the targets that failed it; begun ones take turns.
    const failedTries = { begun: 0, new: 0 }
    const begun = listBegun().sort((a, b) => a.triedMs - b.triedMs)
    for (const entry of takeTurns(begun, orderNew(listNew()), { share: BEGUN_SHARE, assigned: begunCounts.counts() })) {
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
      recordPlace(entry.placeRequest)
      removeAndSettle(entry, { kind: 'placed', place, waitedMs: waitedMs(entry) })
    }
    publish()
    refuseHopeless()
    returns.noteExcess(judge.isExcess())
  }

  /** Refuses queued requests that cannot be served before their callers leave, from the end of the order. */
  function refuseHopeless (): void {
    const ordered = orderNew(listNew())
    if (ordered[0] !== undefined) noteStall(ordered[0].placeRequest)
    const nowMs = runtime.monotonicMs()
    for (const entry of ordered.toReversed()) {
      const isHopeless = judgeEntry(entry, ordered).admission.kind === 'refuse'
      entry.hopelessSinceMs = isHopeless ? entry.hopelessSinceMs ?? nowMs : undefined
      if (entry.hopelessSinceMs !== undefined && nowMs - entry.hopelessSinceMs >= HOPELESS_MS) refuse(entry)
    }
  }

  /** Decides on a request that found no place on arrival. */
  function admit (entry: QueueEntry<Place>): AdmissionFigures | undefined {
    const { placeRequest } = entry
    const waiting = listNew()
    const ordered = orderNew([...waiting, entry])
    noteStall(placeRequest)
    const { admission, figures } = judge.judge(entry, ordered.slice(0, ordered.indexOf(entry)), { isQueued: false, stalledMs: stalledMs() })
    const isExcess = admission.kind === 'refuse' || waiting.length >= MAX_QUEUE_LENGTH
    if (placeRequest.maxWaitMs > 0 && isExcess) returns.noteExcess(true)
    return isExcess || placeRequest.maxWaitMs <= 0 || !placeRequest.isPlaceExpected() ? figures : undefined
  }

  return {
    dispatch,
    queueLength: () => queue.length,
    view: judge.view,
    elapsedMs: returns.elapsedMs,
    firstEventMs: () => firstEventMs ?? 0,
    noteFirstEvent (tookMs) {
      firstEventMs = firstEventMs === undefined ? tookMs : firstEventMs + FIRST_EVENT_WEIGHT * (tookMs - firstEventMs)
    },
    planReturn ({ rank, leftMs, expectedWaitMs }) {
      if (returns.peakAgeMs() === undefined) return undefined
      return returns.plan(rank, { leftMs, expectedWaitMs, placesPerS: judge.expectedPlacesPerS(), hostCount: sharing.hostCount() })
    },
    request (placeRequest) {
      const { rank, account, hasBegun, maxWaitMs, onTimeMs = maxWaitMs, isReturning = false, signal } = placeRequest
      if (!hasBegun) judge.record.countArrival(rank, account)
      scheduleRound()
      if (queue.length === 0 && (hasBegun || !judge.isOthersTurn(rank))) {
        const place = placeRequest.tryReservePlace()
        if (place !== undefined) {
          recordPlace(placeRequest)
          return Promise.resolve({ kind: 'placed', place, waitedMs: 0 })
        }
      }
      return new Promise(resolve => {
        const arrivedMs = runtime.monotonicMs()
        const entry: QueueEntry<Place> = {
          placeRequest,
          rank,
          account,
          isReturning,
          arrivedMs,
          onTimeUntilMs: arrivedMs + onTimeMs,
          leavesAtMs: arrivedMs + maxWaitMs,
          triedMs: arrivedMs,
          hopelessSinceMs: undefined,
          settle (outcome) {
            timer?.[Symbol.dispose]()
            signal.removeEventListener('abort', abort)
            resolve(outcome)
          }
        }
        const figures = hasBegun ? undefined : admit(entry)
        if (figures !== undefined) return resolve({ kind: 'refused', waitedMs: 0, queueLength: queue.length, figures })
        const abort = (): void => removeAndSettle(entry, { kind: 'aborted' })
        const timer = hasBegun ? undefined : runtime.setTimer(maxWaitMs, () => refuse(entry))
        if (signal.aborted) return abort()
        signal.addEventListener('abort', abort, { once: true })
        queue.push(entry)
        scheduleRound()
      })
    }
  }
}
