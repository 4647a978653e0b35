/**
 * Passes observations of targets on through the tree of hosts: each is told to every neighbor but
 * the one it came from, in the digests of a short time, and roots do not pass on what another
 * root told them to further roots, which have it from the same one.
 */
import { isOtherLimit } from '../../rateLimit/createTargetLimits/index.js'
import type { Runtime } from '../../runtime/types.js'
import type { DigestRole, Notices } from '../types.js'

/** Observations of this host and of others, on their way through the fleet. */
export interface NoticeRelay {
  /** Adds this host's own observations, as far as they are new. */
  addOwn: (notices: Notices) => void
  /** Adds the observations in a digest of a neighbor; returns those that are new, or `undefined`. */
  addReceived: (notices: Notices, ip: string, role: DigestRole) => Notices | undefined
  /** What to tell a neighbor now, to which this host has a role. */
  noticesFor: (ip: string, role: DigestRole) => Notices
}

/** How long a notice is told, in milliseconds; a few digests, as one may be lost. */
const TOLD_MS = 350

/** Least prolongation of a suspicion that is news, in milliseconds; what is left of one does not include the time on the way. */
const MIN_PROLONGATION_MS = 100

/** Most notices of each kind in one digest. */
const MAX_NOTICES = 40

/** Time after which a notice is forgotten, in milliseconds; longer than any notice is valid. */
const KEPT_MS = 10_000

interface Entry<Notice> {
  notice: Notice
  /** Monotonic time at which it was learned, in milliseconds. */
  learnedMs: number
  /** Neighbor that told it and its role; `undefined` for an own observation. */
  from: { ip: string, role: DigestRole } | undefined
}

type Suspicion = Notices['suspicions'][number]
type SeenLayers = Notices['seenLayers'][number]
type Limit = Notices['limits'][number]
type Leaving = Notices['leaving'][number]

/** Creates a relay without any notices. */
export function createNoticeRelay (options: { runtime: Runtime }): NoticeRelay {
  const { runtime } = options
  const suspicions = new Map<string, Entry<Suspicion>>()
  const seenLayers = new Map<string, Entry<SeenLayers>>()
  const limits = new Map<string, Entry<Limit>>()
  const leaving = new Map<string, Entry<Leaving>>()

  /** Whether the suspicion says more than the known one: that it lasts longer, or that the target is unfit. */
  function isNewSuspicion (next: Suspicion, known: Entry<Suspicion> | undefined): boolean {
    if (known === undefined) return true
    const knownLeftMs = known.learnedMs + known.notice.leftMs - runtime.monotonicMs()
    return next.leftMs > Math.max(0, knownLeftMs) + MIN_PROLONGATION_MS || (next.isUnfit && !known.notice.isUnfit)
  }

  const isNewSighting = (next: SeenLayers, known: Entry<SeenLayers> | undefined): boolean =>
    known === undefined || next.bornMs !== known.notice.bornMs || next.layers?.from !== known.notice.layers?.from || next.layers?.to !== known.notice.layers?.to

  /** Whether a limit is another one than is known, and rests on a later answer. */
  const isNewLimit = (next: Limit, known: Entry<Limit> | undefined): boolean =>
    known === undefined || (isOtherLimit(next.limitPerS, known.notice.limitPerS) && runtime.monotonicMs() - next.ageMs > known.learnedMs - known.notice.ageMs)

  function add (notices: Notices, from: Entry<unknown>['from']): Notices {
    const nowMs = runtime.monotonicMs()
    const news: Notices = { suspicions: [], seenLayers: [], limits: [], leaving: [] }
    for (const notice of notices.suspicions) {
      if (!isNewSuspicion(notice, suspicions.get(notice.targetId))) continue
      suspicions.set(notice.targetId, { notice, learnedMs: nowMs, from })
      news.suspicions.push(notice)
    }
    for (const notice of notices.seenLayers) {
      if (!isNewSighting(notice, seenLayers.get(notice.targetId))) continue
      seenLayers.set(notice.targetId, { notice, learnedMs: nowMs, from })
      news.seenLayers.push(notice)
    }
    for (const notice of notices.limits) {
      if (!isNewLimit(notice, limits.get(notice.targetId))) continue
      limits.set(notice.targetId, { notice, learnedMs: nowMs, from })
      news.limits.push(notice)
    }
    for (const notice of notices.leaving) {
      if (leaving.get(notice.targetId)?.notice.bornMs === notice.bornMs) continue
      leaving.set(notice.targetId, { notice, learnedMs: nowMs, from })
      news.leaving.push(notice)
    }
    forget(suspicions)
    forget(seenLayers)
    forget(limits)
    forget(leaving)
    return news
  }

  function forget (entries: Map<string, Entry<unknown>>): void {
    for (const [id, entry] of entries) if (runtime.monotonicMs() - entry.learnedMs > KEPT_MS) entries.delete(id)
  }

  function list<Notice> (entries: Map<string, Entry<Notice>>, ip: string, role: DigestRole): Array<Entry<Notice>> {
    const isTold = ({ learnedMs, from }: Entry<Notice>): boolean => {
      if (runtime.monotonicMs() - learnedMs > TOLD_MS || from?.ip === ip) return false
      return !(role === 'mesh' && from?.role === 'mesh')
    }
    return [...entries.values()].filter(isTold).slice(-MAX_NOTICES)
  }

  return {
    addOwn (notices) {
      add(notices, undefined)
    },
    addReceived (notices, ip, role) {
      const news = add(notices, { ip, role })
      return news.suspicions.length + news.seenLayers.length + news.limits.length + news.leaving.length > 0 ? news : undefined
    },
    noticesFor (ip, role) {
      const nowMs = runtime.monotonicMs()
      return {
        suspicions: list(suspicions, ip, role).map(({ notice, learnedMs }) => ({
          ...notice, ageMs: Math.round(notice.ageMs + nowMs - learnedMs), leftMs: Math.max(0, Math.round(notice.leftMs - (nowMs - learnedMs)))
        })),
        seenLayers: list(seenLayers, ip, role).map(({ notice }) => notice),
        limits: list(limits, ip, role).map(({ notice, learnedMs }) => ({ ...notice, ageMs: Math.round(notice.ageMs + nowMs - learnedMs) })),
        leaving: list(leaving, ip, role).map(({ notice }) => notice)
      }
    }
  }
}
