/**
 * Counts what arrives at the queue of one host and what gets a place, by rank in a sliding window
 * and by account with decay.
 */
import type { Runtime } from '../../runtime/types.js'
import type { ServedShare } from '../orderQueue/index.js'

/** Window of the rates, in milliseconds. */
const RATE_WINDOW_MS = 1_000

/** Time after which what was asked and served counts half, in milliseconds. */
const HALF_LIFE_MS = 60_000

/** Counts below this are forgotten. */
const MIN_COUNT = 0.05

/** Accounts that are counted apart; beyond it those that asked least are forgotten. */
const MAX_ACCOUNTS = 500

/** Counts of one host. */
export interface QueueRecord {
  countArrival: (rank: number, account: string) => void
  countPlace: (rank: number, account: string) => void
  /** Arrivals and places of a rank in the last second. */
  rates: (rank: number) => { arrivalsPerS: number, placesPerS: number }
  /** Whether anything arrived or got a place in the last second. */
  isRecent: () => boolean
  /** Ranks with counts. */
  ranks: () => number[]
  rankShare: (rank: number) => ServedShare
  accountShare: (account: string) => ServedShare
  accounts: () => string[]
  overall: () => ServedShare
}

/** Creates a record without counts. */
export function createQueueRecord ({ runtime }: { runtime: Runtime }): QueueRecord {
  const arrivals = createEventTimes(runtime)
  const places = createEventTimes(runtime)
  const byRank = createShares<number>(runtime)
  const byAccount = createShares<string>(runtime)
  const all = createShares<'all'>(runtime)
  const count = (field: keyof ServedShare, rank: number, account: string): void => {
    byRank.add(rank, field)
    byAccount.add(account, field)
    all.add('all', field)
  }
  return {
    countArrival (rank, account) {
      arrivals.add(rank)
      count('asked', rank, account)
    },
    countPlace (rank, account) {
      places.add(rank)
      count('served', rank, account)
    },
    rates: rank => ({ arrivalsPerS: arrivals.count(rank), placesPerS: places.count(rank) }),
    isRecent: () => byRank.keys().some(rank => arrivals.count(rank) + places.count(rank) > 0),
    ranks: byRank.keys,
    rankShare: byRank.get,
    accountShare: byAccount.get,
    accounts: byAccount.keys,
    overall: () => all.get('all')
  }
}

/** Times of events within the window of the rates, by key. */
function createEventTimes (runtime: Runtime) {
  const timesMs = new Map<number, number[]>()
  return {
    add (key: number): void {
      const times = timesMs.get(key)
      if (times === undefined) timesMs.set(key, [runtime.monotonicMs()])
      else times.push(runtime.monotonicMs())
    },
    count (key: number): number {
      const times = timesMs.get(key) ?? []
      const sinceMs = runtime.monotonicMs() - RATE_WINDOW_MS
      const first = times.findIndex(atMs => atMs > sinceMs)
      if (first !== 0) times.splice(0, first < 0 ? times.length : first)
      return times.length
    }
  }
}

/** Decaying counts by key. */
function createShares<Key> (runtime: Runtime) {
  const shares = new Map<Key, ServedShare & { atMs: number }>()
  function get (key: Key): ServedShare {
    const share = shares.get(key)
    if (share === undefined) return { asked: 0, served: 0 }
    const factor = 0.5 ** ((runtime.monotonicMs() - share.atMs) / HALF_LIFE_MS)
    return { asked: share.asked * factor, served: share.served * factor }
  }
  function removeSmallest (): void {
    const [smallest] = [...shares.keys()].sort((a, b) => get(a).asked - get(b).asked)
    shares.delete(smallest!)
  }
  return {
    get,
    add (key: Key, field: keyof ServedShare): void {
      const share = get(key)
      shares.set(key, { ...share, [field]: share[field] + 1, atMs: runtime.monotonicMs() })
      if (shares.size > MAX_ACCOUNTS) removeSmallest()
    },
    keys (): Key[] {
      for (const key of shares.keys()) if (get(key).asked < MIN_COUNT) shares.delete(key)
      return [...shares.keys()]
    }
  }
}
