/**
 * Turns what a host counts and hears into what the decisions of its queue need: the view of all
 * queues, the order of its own, and the facts of one request's admission.
 */
import type { Runtime } from '../../runtime/types.js'
import { decideAdmission, type Admission } from '../decideAdmission/index.js'
import { isStarved, orderQueue, type ServedShare, type WaitingRequest } from '../orderQueue/index.js'
import { summarizeRoom } from '../summarizeRoom/index.js'
import type { AdmissionFigures, QueueView, RankFigures } from '../types.js'
import { createQueueRecord, type QueueRecord } from './createQueueRecord.js'
import { accountKey, pairOf, readFigures, publishFigures, type QueueSharing } from './queueFigures.js'

/** Ranks of a service, and accounts, whose figures are published. */
const MAX_PUBLISHED_RANKS = 8
const MAX_PUBLISHED_ACCOUNTS = 4

/** What was served of an account, as a multiple of the mean, from which it is published. */
const LARGE_ACCOUNT_FACTOR = 1.5

/** Interval at which accounts are published, in milliseconds; what was served of them changes over minutes. */
const ACCOUNTS_INTERVAL_MS = 1_000

/** Rate of places to assume at least, for all hosts together: few or none are assigned right after a fault that is being repaired. */
const MIN_PLACES_PER_S = 4

/** Part of the usual rate of places to assume at least, and the time over which the usual rate adapts, in milliseconds. */
const USUAL_SHARE = 0.5
const USUAL_TIME_MS = 5_000

/** Queued time of all hosts beyond which more is asked for than is served, in milliseconds. */
const EXCESS_WAIT_MS = 250

/** Time for which requests must have arrived at a rate for it to count as lasting, in milliseconds; they may have come in one burst. */
const LASTING_MS = 500

/** Mean wait as a part of the longest one, as hosts take places in no common order. */
const MEAN_WAIT_SHARE = 0.5

/** Time for which a view of the queues is kept, in milliseconds; far below the age of its figures. */
const VIEW_MS = 5

/** Wait of requests at other hosts beyond which a new one does not go before them, in milliseconds; two rounds of a queue. */
const TURN_WAIT_MS = 50

/** Milliseconds in a second. */
const MS_PER_S = 1_000

/** A request that is judged. */
export interface JudgedRequest extends WaitingRequest {
  /** Time at which its caller leaves, less what an answer needs to begin. */
  leavesAtMs: number
}

/** What one host knows of the queues of a service. */
export interface QueueJudge {
  record: QueueRecord
  view: () => QueueView
  /** Tells peers the figures of this host's queue. */
  publish: (waiting: readonly JudgedRequest[], promised: (rank: number) => number) => void
  order: <Request extends JudgedRequest>(requests: readonly Request[], isReturnTurn: boolean) => Request[]
  /** Judges a request behind `ownAhead` others of this host: whether it is admitted, or goes on waiting. */
  judge: (request: JudgedRequest, ownAhead: readonly JudgedRequest[], options: { isQueued: boolean, stalledMs: number }) => { admission: Admission, figures: AdmissionFigures }
  /** Whether so many requests of a rank, or more urgent ones, wait at other hosts that a new one takes its turn among them. */
  isOthersTurn: (rank: number) => boolean
  /** Rate at which places are expected to become free, at all hosts. */
  expectedPlacesPerS: () => number
  isExcess: () => boolean
}

/** Creates the judge of a queue. */
export function createQueueJudge ({ runtime, sharing }: { runtime: Runtime, sharing: QueueSharing }): QueueJudge {
  const record = createQueueRecord({ runtime })
  /** Number of requests that this host published as waiting, by rank. */
  const publishedWaiting = new Map<number, number>()
  let accountsPublishedMs = -Infinity
  const publishedAccounts = new Map<string, ServedShare>()
  /** Arrivals a second by rank, as they were known within `LASTING_MS`. */
  let samples: Array<{ atMs: number, arrivalsPerS: ReadonlyMap<number, number> }> = []
  let usualPlacesPerS = 0
  let usualAtMs = runtime.monotonicMs()

  const listRanks = (): number[] => [...new Set([...sharing.ranks(), ...record.ranks()])].sort((a, b) => a - b).slice(0, MAX_PUBLISHED_RANKS)

  let latest: { view: QueueView, atMs: number } | undefined

  /** The view, kept for a moment as a round judges each queued request by it, or until this host assigns a place. */
  function view (): QueueView {
    const nowMs = runtime.monotonicMs()
    if (latest === undefined || nowMs - latest.atMs >= VIEW_MS) latest = { view: readView(), atMs: nowMs }
    return latest.view
  }

  /** Figures of a rank over all hosts; this host's own count of places is newer than what it has published, above all in a burst after a calm. */
  function readCurrentFigures (rank: number): RankFigures {
    const figures = readFigures(rank, sharing)
    return { ...figures, placesPerS: Math.max(figures.placesPerS, record.rates(rank).placesPerS) }
  }

  function readView (): QueueView {
    return summarizeRoom(listRanks().map(readCurrentFigures), { ...(sharing.places?.() ?? { freePlaces: 0, totalPlaces: 0 }), ageMs: sharing.ageMs(), hostCount: sharing.hostCount(), isCutOff: sharing.isCutOff() })
  }

  /** What was served of an account by this host and, as far as they publish it, by others. */
  function accountShare (account: string): ServedShare {
    const own = record.accountShare(account)
    const published = publishedAccounts.get(account) ?? { asked: 0, served: 0 }
    const { tokenLayers, firstSequences } = sharing.sumOf(accountKey(account))
    return { served: own.served + Math.max(0, tokenLayers - published.served), asked: own.asked + Math.max(0, firstSequences - published.asked) }
  }

  function publishAccounts (isWaiting: boolean): void {
    if (runtime.monotonicMs() - accountsPublishedMs < ACCOUNTS_INTERVAL_MS) return
    accountsPublishedMs = runtime.monotonicMs()
    const accounts = isWaiting ? record.accounts() : []
    const leastServed = LARGE_ACCOUNT_FACTOR * record.overall().served / accounts.length
    const largest = accounts.filter(account => record.accountShare(account).served > leastServed).sort((a, b) => record.accountShare(b).served - record.accountShare(a).served).slice(0, MAX_PUBLISHED_ACCOUNTS)
    for (const account of publishedAccounts.keys()) if (!largest.includes(account)) sharing.publish(accountKey(account), undefined)
    publishedAccounts.clear()
    for (const account of largest) {
      const { asked, served } = record.accountShare(account)
      const published = { asked: Math.round(asked), served: Math.round(served) }
      publishedAccounts.set(account, published)
      sharing.publish(accountKey(account), pairOf(published.served, published.asked))
    }
  }

  function sampleArrivals (ranks: readonly RankFigures[]): void {
    const nowMs = runtime.monotonicMs()
    samples.push({ atMs: nowMs, arrivalsPerS: new Map(ranks.map(({ rank, arrivalsPerS }) => [rank, arrivalsPerS])) })
    // The last sample from before the time shows what the rate was at its start.
    while (samples.length > 1 && samples[1]!.atMs <= nowMs - LASTING_MS) samples = samples.slice(1)
  }

  /** Rate of arrivals of a rank that has lasted. */
  function lastingArrivalsPerS (rank: number): number {
    const isLasting = samples.length > 0 && samples[0]!.atMs <= runtime.monotonicMs() - LASTING_MS
    return isLasting ? Math.min(...samples.map(({ arrivalsPerS }) => arrivalsPerS.get(rank) ?? 0)) : 0
  }

  function updateUsualRate (placesPerS: number): void {
    const nowMs = runtime.monotonicMs()
    usualPlacesPerS += (placesPerS - usualPlacesPerS) * (1 - Math.exp((usualAtMs - nowMs) / USUAL_TIME_MS))
    usualAtMs = nowMs
  }

  const expectedRate = (placesPerS: number): number => Math.max(placesPerS, USUAL_SHARE * usualPlacesPerS, MIN_PLACES_PER_S)
  const isStarvedRank = (rank: number): boolean => isStarved(record.rankShare(rank), record.overall())
  const sumWaiting = (ranks: readonly RankFigures[]): number => ranks.reduce((sum, { waiting }) => sum + waiting, 0)
  /** Requests that wait at other hosts. */
  const sumElsewhere = (ranks: readonly RankFigures[]): number => ranks.reduce((sum, { rank, waiting }) => sum + Math.max(0, waiting - (publishedWaiting.get(rank) ?? 0)), 0)

  return {
    record: {
      ...record,
      countPlace (rank, account) {
        record.countPlace(rank, account)
        latest = undefined
      }
    },
    view,
    publish (waiting, promised) {
      for (const rank of listRanks()) {
        publishedWaiting.set(rank, waiting.filter(request => request.rank === rank).length)
        publishFigures(rank, { ...record.rates(rank), waiting: publishedWaiting.get(rank)!, promised: promised(rank) }, sharing)
      }
      latest = undefined
      const { ranks, room } = view()
      publishAccounts(sumWaiting(ranks) > 0)
      sampleArrivals(ranks)
      updateUsualRate(room.placesPerS)
    },
    order: (requests, isReturnTurn) => orderQueue(requests, {
      nowMs: runtime.monotonicMs(),
      isReturnTurn,
      rankShare: record.rankShare,
      accountShare,
      overall: { accounts: record.overall(), ranks: record.overall() }
    }),
    judge (request, ownAhead, { isQueued, stalledMs }) {
      const nowMs = runtime.monotonicMs()
      const { ranks, room } = view()
      const { rank, isReturning } = request
      const isFirst = isStarvedRank(rank)
      const before = ranks.filter(figures => figures.rank <= rank)
      const own = before.find(figures => figures.rank === rank)
      // Layers that are loaded again give places at the rate from before their loss, whatever has been assigned since.
      const total = stalledMs > 0 ? Math.max(expectedRate(room.placesPerS), usualPlacesPerS) : expectedRate(room.placesPerS)
      const urgentArrivalsPerS = before.filter(figures => figures !== own).reduce((sum, { arrivalsPerS }) => sum + arrivalsPerS, 0)
      const ratePerS = isFirst ? total : Math.max(own?.placesPerS ?? 0, total - urgentArrivalsPerS)
      const arrivalsPerS = stalledMs > 0 ? 0 : lastingArrivalsPerS(rank)
      // What has come to wait at other hosts since they published it.
      const unheard = Math.max(0, arrivalsPerS - ratePerS) * Math.min(room.ageMs, MS_PER_S) / MS_PER_S
      const elsewhere = isFirst || isReturning || isQueued ? 0 : unheard + sumElsewhere(before)
      // Hosts that have requests waiting get places at about the same rate, whatever the length of their queues.
      const waitingHosts = Math.max(1, ...before.map(figures => figures.waitingHosts))
      const waitingAhead = Math.max(ownAhead.length + elsewhere, ownAhead.length * waitingHosts)
      const onTimeMs = (request.onTimeUntilMs - nowMs) * (elsewhere > 0 ? MEAN_WAIT_SHARE : 1)
      // A queued request is reached in its turn at this host, late or not.
      const admission = decideAdmission({ waitingAhead, freePlaces: room.freePlaces, stalledMs, placesPerS: ratePerS, arrivalsPerS: isQueued ? 0 : arrivalsPerS, onTimeMs, patienceMs: request.leavesAtMs - nowMs, isReturning })
      const figures = { expectedWaitMs: roundMs(admission.expectedWaitMs), waitingAhead: Math.round(waitingAhead), placesPerS: Math.round(ratePerS), ...(sharing.places === undefined ? {} : { freePlaces: room.freePlaces }), knownAgeMs: roundMs(room.ageMs) }
      return { admission, figures }
    },
    isOthersTurn (rank) {
      const { ranks, room } = view()
      return sumElsewhere(ranks.filter(figures => figures.rank <= rank)) * MS_PER_S > TURN_WAIT_MS * expectedRate(room.placesPerS)
    },
    expectedPlacesPerS: () => expectedRate(view().room.placesPerS),
    isExcess () {
      const { ranks, room } = view()
      return sumWaiting(ranks) * MS_PER_S > EXCESS_WAIT_MS * expectedRate(room.placesPerS)
    }
  }
}

/** Whole milliseconds; `null` for an infinite time. */
function roundMs (timeMs: number): number | null {
  return Number.isFinite(timeMs) ? Math.round(timeMs) : null
}
