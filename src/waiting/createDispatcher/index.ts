/**
 * Who gets the next free place and who is turned away. Answers the load pattern in which part
 * of the fleet is lost and more requests arrive than the rest can hold: requests wait at the
 * host, not in the engines, in order of rank and then of arrival, and one that cannot start in
 * time is refused at once: by the rate at which places were lately handed out, those before it
 * would take longer than its useful wait.
 */
import type { Runtime } from '../../runtime/types.js'

/** A request that needs a place. */
export interface PlaceRequest<Place> {
  /** Lower goes first. */
  rank: number
  /** Account whose requests take turns with those of others. */
  account: string
  /** Longest useful wait from now, in milliseconds. */
  maxWaitMs: number
  /** A place, or `undefined` while there is none; takes hold of it. */
  tryReservePlace: () => Place | undefined
  /** Whether a place can be expected to appear within a time. */
  isPlaceExpected: () => boolean
  signal: AbortSignal
}

/** What became of a request for a place. */
export type PlaceOutcome<Place> =
  | { kind: 'placed', place: Place, waitedMs: number }
  /** No place within the longest useful wait, now or as far as can be foreseen. */
  | { kind: 'refused', waitedMs: number, queueLength: number }
  | { kind: 'aborted' }

/** The queue of one service. */
export interface Dispatcher<Place> {
  request: (wanted: PlaceRequest<Place>) => Promise<PlaceOutcome<Place>>
  /** Hands out places that became free. */
  poke: () => void
  queueLength: () => number
}

/** Interval at which waiting requests are tried; each round may choose several paths. */
const POKE_MS = 25

/** Requests that wait at most; beyond it the newest is refused. */
const QUEUE_LIMIT = 300

/** Time over which the rate of places is measured, in milliseconds; about one longest wait. */
const RATE_WINDOW_MS = 1_500

/** Places a second that are counted on when fewer were handed out, as right after a fault that is being repaired. */
const RATE_FLOOR_PER_S = 4

/** Milliseconds in a second. */
const MS_PER_S = 1_000

/** Failed tries in one round after which the rest of the queue waits for the next one. */
const TRIES_PER_ROUND = 2

interface Waiting<Place> {
  wanted: PlaceRequest<Place>
  arrivedMs: number
  settle: (outcome: PlaceOutcome<Place>) => void
}

/**
 * @name createDispatcher
 * @summary An empty queue.
 * @param options - The runtime.
 * @returns The dispatcher.
 *
 * @example
 * const outcome = await dispatcher.request({ rank: 1, account, maxWaitMs: 500, tryReservePlace, isPlaceExpected, signal })
 */
export function createDispatcher<Place> (options: { runtime: Runtime }): Dispatcher<Place> {
  const { runtime } = options
  let queue: Array<Waiting<Place>> = []
  /** Requests of each account that got a place since the queue was last empty. */
  let servedByAccount = new Map<string, number>()

  function finish (entry: Waiting<Place>, outcome: PlaceOutcome<Place>): void {
    queue = queue.filter(other => other !== entry)
    if (queue.length === 0) servedByAccount = new Map()
    entry.settle(outcome)
  }

  /** Monotonic times at which places were handed out lately. */
  let placedMs: number[] = []

  function notePlaced (): void {
    placedMs.push(runtime.monotonicMs())
  }

  /** Time until a request behind all that wait can expect a place. */
  function expectWaitMs (): number {
    placedMs = placedMs.filter(atMs => runtime.monotonicMs() - atMs < RATE_WINDOW_MS)
    const ratePerS = Math.max(RATE_FLOOR_PER_S, placedMs.length * MS_PER_S / RATE_WINDOW_MS)
    return queue.length / ratePerS * MS_PER_S
  }

  const waitedMs = (entry: Waiting<Place>): number => runtime.monotonicMs() - entry.arrivedMs

  function refuse (entry: Waiting<Place>): void {
    finish(entry, { kind: 'refused', waitedMs: waitedMs(entry), queueLength: queue.length })
  }

  let isTimed = false

  /** Tries again after the interval, and so on while requests wait. */
  function pokeLater (): void {
    if (isTimed) return
    isTimed = true
    runtime.setTimer(POKE_MS, () => {
      isTimed = false
      poke()
      if (queue.length > 0) pokeLater()
    })
  }

  function poke (): void {
    let tries = 0
    for (const entry of orderWaiting(queue, servedByAccount)) {
      if (!entry.wanted.isPlaceExpected()) {
        refuse(entry)
        continue
      }
      if (tries >= TRIES_PER_ROUND) continue
      const place = entry.wanted.tryReservePlace()
      if (place === undefined) {
        tries++
        continue
      }
      const { account } = entry.wanted
      notePlaced()
      servedByAccount.set(account, (servedByAccount.get(account) ?? 0) + 1)
      finish(entry, { kind: 'placed', place, waitedMs: waitedMs(entry) })
    }
  }

  return {
    poke,
    queueLength: () => queue.length,
    request (wanted) {
      if (queue.length === 0) {
        const place = wanted.tryReservePlace()
        if (place !== undefined) {
          notePlaced()
          return Promise.resolve({ kind: 'placed', place, waitedMs: 0 })
        }
      }
      if (queue.length >= QUEUE_LIMIT || wanted.maxWaitMs <= 0 || expectWaitMs() > wanted.maxWaitMs || !wanted.isPlaceExpected()) {
        return Promise.resolve({ kind: 'refused', waitedMs: 0, queueLength: queue.length })
      }
      return new Promise(resolve => {
        const entry: Waiting<Place> = {
          wanted,
          arrivedMs: runtime.monotonicMs(),
          settle (outcome) {
            timer[Symbol.dispose]()
            wanted.signal.removeEventListener('abort', abort)
            resolve(outcome)
          }
        }
        const abort = (): void => finish(entry, { kind: 'aborted' })
        const timer = runtime.setTimer(wanted.maxWaitMs, () => refuse(entry))
        if (wanted.signal.aborted) return abort()
        wanted.signal.addEventListener('abort', abort, { once: true })
        queue.push(entry)
        pokeLater()
      })
    }
  }
}

/** By rank, then the account that was served least, then arrival. */
function orderWaiting<Place> (queue: ReadonlyArray<Waiting<Place>>, servedByAccount: ReadonlyMap<string, number>): Array<Waiting<Place>> {
  const served = (entry: Waiting<Place>): number => servedByAccount.get(entry.wanted.account) ?? 0
  return [...queue].sort((a, b) => a.wanted.rank - b.wanted.rank || served(a) - served(b) || a.arrivedMs - b.arrivedMs)
}
