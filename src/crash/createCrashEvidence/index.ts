/**
 * Evidence of one host, with that of its peers, on requests that crash engines.
 *
 * A crash counts against each request whose answer had just begun: against the request as a whole,
 * which its repeats share, and against the parts of its prompt that others share. Traits that were
 * answered completely a short time before are left out, and a complete answer anywhere voids what
 * was held against its traits. Nothing is voided by waiting: a request that is tried to see whether
 * it is sound may cost another engine. Requests are tried only while other parts may explain the
 * crashes as well, one at a time, and only a few after the crashes that show a part for certain.
 *
 * Hosts tell each other what is new at once, and everything at intervals, so that lost digests do
 * no harm and a host that has just started learns what the others know.
 */
import type { EventLog } from '../../event/types.js'
import type { Target } from '../../fleet/types.js'
import type { Runtime } from '../../runtime/types.js'
import { ANSWER_VALID_MS, createAnswerMemory } from '../_lib/createAnswerMemory.js'
import { createSightings, engineOf, type KeptSighting } from '../_lib/createSightings.js'
import { fingerprintOf, isWholeRequest, listTraits, traitKey, type Trait } from '../_lib/listTraits.js'
import { findCrashingTraits } from '../findCrashingTraits/index.js'
import type { CrashingTraits, CrashNews, CrashSighting, RequestTraits } from '../types.js'

/** A change of what is held against a trait. */
export type CrashVerdict = 'suspected' | 'crashing' | 'sound'

/** Kind of a trait: a part that requests share, or one request as a whole. */
export type TraitKind = 'part' | 'request'

/** Why a request is kept away from engines. */
export type CrashingCause = CrashingTraits & { kind: TraitKind, lastCrashAgeMs: number }

/** What is known of requests that crash engines. */
export interface CrashEvidence {
  /** Records that an engine ended when it had just begun to run a request. */
  noteCrash: (request: RequestTraits, target: Target) => void
  /** Records that a request was answered completely, or so far that it does not crash engines. */
  noteAnswered: (request: RequestTraits) => void
  /** Why a request crashes engines, with the age of the latest crash; `undefined` unless that is known. */
  findCrashing: (request: RequestTraits) => CrashingCause | undefined
  /** Largest number of crashes held against one trait of a request. */
  countCrashes: (request: RequestTraits) => number
  /** How long to hold a request back until the latest of several crashes held against one of its traits counts, in milliseconds. */
  settlingMs: (request: RequestTraits) => number
  /** Calls the listener when more traits are known to crash engines. */
  onFound: (listener: () => void) => Disposable
  /** What to tell a neighbor now. */
  newsFor: (ip: string) => CrashNews
  /** Applies what a neighbor told; returns whether something was new. */
  applyNews: (news: CrashNews) => boolean
  /** What is held to crash engines, for a store that outlives the hosts. */
  verdicts: () => CrashVerdicts
  /** Numbers of traits that are suspected, and that are known to crash engines. */
  counts: (kind: TraitKind) => { suspected: number, crashing: number }
}

/** What is held to crash engines at present. */
export interface CrashVerdicts {
  /** Tells one set of verdicts from another; empty if there are none. */
  key: string
  /** Whether this host sent a request that took part in a crash that they rest on. */
  isOwn: boolean
  /** The crashes that they rest on, with other suspects, as none of these is judged alone; empty if there are no verdicts. */
  sightings: CrashSighting[]
}

interface EvidenceOptions {
  runtime: Runtime
  log: EventLog
  /** Called with each change of what is held against a trait. */
  onVerdict?: (verdict: CrashVerdict, kind: TraitKind) => void
}

/** Time after a crash for which it counts, in milliseconds; a fleet whose engines were repaired serves the request again after it. */
const CRASH_VALID_MS = 3_600_000

/** Time from the first sighting of a crash until it counts, in milliseconds; until then some hosts have not told which other requests it struck. */
const SETTLING_MS = 300

/** Crashes held against a trait from which its requests are held back while the latest crash settles. */
const MIN_HELD_CRASHES = 2

/** Time without a crash or a trial after which a request with a part that may be sound is tried, in milliseconds, and for how long that request is. */
const TRIAL_DELAY_MS = 4_000
const TRIAL_MS = 20_000

/** Crashes held against a part from which its requests are not tried: one more than show a part for certain. */
const MAX_TRIAL_CRASHES = 6

/** Most parts of one prompt against which a crash counts; callers choose them. */
const MAX_PARTS_PER_CRASH = 8

/** How long something new is told in each digest, in milliseconds; a few digests, as one may be lost. */
const TOLD_MS = 350

/** Interval at which a neighbor is told everything, in milliseconds. */
const RETOLD_INTERVAL_MS = 500

/** Most entries of each kind in one digest. */
const MAX_TOLD = 40

/** Most sightings to store; some ten kilobytes. */
const MAX_STORED = 100

/** Most traits of which others are told that they were answered. */
const MAX_OBJECTIONS = 512

/** Least progress of the time of an answer that is news, in milliseconds. */
const MIN_ANSWER_PROGRESS_MS = 10_000

/** The latest answer to a trait over which hosts disagreed. */
interface Objection extends Trait {
  learnedMs: number
}

const kindOf = (trait: Pick<Trait, 'part'>): TraitKind => isWholeRequest(trait) ? 'request' : 'part'

/**
 * @name createCrashEvidence
 * @summary Creates the evidence of one host, which is empty.
 * @param options - Runtime, log, and a callback for metrics.
 * @returns The evidence.
 *
 * @example
 * evidence.noteCrash({ service: service.name, fingerprint, promptParts }, target)
 * if (evidence.findCrashing({ service: service.name, fingerprint, promptParts }) !== undefined) refuse()
 */
export function createCrashEvidence ({ runtime, log, onVerdict = () => {} }: EvidenceOptions): CrashEvidence {
  const sightings = createSightings()
  const answers = createAnswerMemory()
  const objections = new Map<string, Objection>()
  const retoldMs = new Map<string, number>()
  const listeners = new Set<() => void>()
  /** The latest request that was tried although it has parts that are held to crash engines, by these parts. */
  const trials = new Map<string, { fingerprint: string, atMs: number }>()
  let crashing: CrashingTraits[] = []
  /** When the next crash counts, in monotonic milliseconds, with the timer for it. */
  let settling: { dueMs: number, timer: Disposable } | undefined

  const dueMsOf = ({ learnedMs }: KeptSighting): number => learnedMs + SETTLING_MS

  /** Sightings of the crashes of which this host has known for long enough. */
  function listSettled (nowMs: number): KeptSighting[] {
    const settledEngines = new Set(sightings.list().filter(sighting => dueMsOf(sighting) <= nowMs).map(engineOf))
    return sightings.list().filter(sighting => settledEngines.has(engineOf(sighting)))
  }

  function updateWhenSettled (nowMs: number): void {
    if (settling !== undefined) return
    const dueMs = Math.min(...sightings.list().map(dueMsOf).filter(atMs => atMs > nowMs))
    if (Number.isFinite(dueMs)) settling = { dueMs, timer: runtime.setTimer(dueMs - nowMs, updateSettled) }
  }

  /** Reads the clock once: a crash whose time came between two readings would neither count nor get another timer. */
  function updateSettled (): void {
    const nowMs = runtime.monotonicMs()
    settling?.timer[Symbol.dispose]()
    settling = undefined
    update(nowMs)
    updateWhenSettled(nowMs)
  }

  const isCrashing = ({ service, part }: Trait): boolean => crashing.some(found => found.service === service && found.parts.includes(part))

  /** Tells the other hosts that a trait was answered. */
  function object ({ service, part }: Trait): void {
    objections.set(traitKey({ service, part }), { service, part, learnedMs: runtime.monotonicMs() })
    if (objections.size > MAX_OBJECTIONS) objections.delete(objections.keys().next().value!)
  }

  /** Drops what is held against a trait; returns whether there was anything. */
  function acquit (trait: Trait): boolean {
    const wasCrashing = isCrashing(trait)
    const wasSuspected = isSuspected(trait)
    const hasDropped = sightings.drop(sighting => sighting.service === trait.service && sighting.part === trait.part && answers.isVoid(trait, sighting.atMs))
    if (!hasDropped) return false
    object(trait)
    if (!wasSuspected) return true
    const details = { wasCrashing, answeredAgeMs: Math.round(runtime.monotonicMs() - answers.latestMs(trait)) }
    if (isWholeRequest(trait)) log.emit('requestSound', { fingerprint: fingerprintOf(trait), ...details })
    else log.emit('promptPartSound', { service: trait.service, part: trait.part, ...details })
    onVerdict('sound', kindOf(trait))
    return true
  }

  /** One crash makes a part suspected, but not a whole request, as each crash strikes several of these. */
  const isSuspected = (trait: Trait): boolean => sightings.countEngines(trait) >= (isWholeRequest(trait) ? MIN_HELD_CRASHES : 1)

  /** Adds a sighting; returns whether it is new. */
  function addSighting (sighting: KeptSighting): boolean {
    const wasSuspected = isSuspected(sighting)
    if (!sightings.add(sighting)) return false
    updateWhenSettled(sighting.learnedMs)
    if (!wasSuspected && isSuspected(sighting)) {
      const { service, part, targetId, atMs } = sighting
      const details = { target: targetId, ageMs: Math.round(runtime.monotonicMs() - atMs) }
      if (isWholeRequest(sighting)) log.emit('requestSuspected', { fingerprint: fingerprintOf(sighting), ...details })
      else log.emit('promptPartSuspected', { service, part, ...details })
      onVerdict('suspected', kindOf(sighting))
    }
    return true
  }

  /** Drops what is too old to count; returns whether that were crashes. */
  function dropExpired (): boolean {
    const nowMs = runtime.monotonicMs()
    for (const [key, { learnedMs }] of objections) if (nowMs - learnedMs > ANSWER_VALID_MS) objections.delete(key)
    for (const [key, { atMs }] of trials) if (nowMs - atMs > TRIAL_MS) trials.delete(key)
    for (const [ip, atMs] of retoldMs) if (nowMs - atMs > ANSWER_VALID_MS) retoldMs.delete(ip)
    return sightings.drop(({ atMs }) => nowMs - atMs > CRASH_VALID_MS)
  }

  function update (nowMs: number): void {
    dropExpired()
    const known = new Set(crashing.map(({ service, parts }) => JSON.stringify([service, parts])))
    crashing = findCrashingTraits(listSettled(nowMs))
    const found = crashing.filter(({ service, parts }) => !known.has(JSON.stringify([service, parts])))
    for (const { service, parts, crashes, requests, isAmbiguous } of found) {
      const targets = [...new Set(parts.flatMap(part => sightings.listOf({ service, part }).map(({ targetId }) => targetId)))]
      const kind = kindOf({ part: parts[0]! })
      if (kind === 'request') log.emit('requestCrashing', { fingerprint: fingerprintOf({ part: parts[0]! }), crashes, targets })
      else log.emit('promptPartCrashing', { service, parts, crashes, requests, isAmbiguous, targets })
      onVerdict('crashing', kind)
    }
    if (found.length > 0) for (const listener of [...listeners]) listener()
  }

  /**
   * Whether a request may be sent to find out whether parts crash engines. It has no other trait that took
   * part in crashes. Hosts do not try at once: those that sent requests which took part do so one after the other,
   * in the order of these requests. Times would not tell the order, as they include the way of the news.
   */
  function mayTry (request: RequestTraits, { service, parts }: CrashingTraits): boolean {
    const nowMs = runtime.monotonicMs()
    const key = JSON.stringify([service, parts])
    const trial = trials.get(key)
    if (trial !== undefined && nowMs - trial.atMs < TRIAL_MS && trial.fingerprint === request.fingerprint) return true
    const held = sightings.listOf({ service, part: parts[0]! })
    const requests = [...new Set(held.map(sighting => sighting.request))].sort()
    const rank = requests.findIndex(name => held.some(sighting => sighting.isOwn && sighting.request === name))
    const crashes = new Set(held.map(engineOf)).size
    if (rank < 0 || crashes >= MAX_TRIAL_CRASHES) return false
    const quietMs = nowMs - Math.max(trial?.atMs ?? -Infinity, ...held.map(({ atMs }) => atMs))
    if (quietMs < TRIAL_DELAY_MS * (1 + rank)) return false
    const hasOtherSuspect = listTraits(request).some(trait => sightings.countEngines(trait) > 0 && !(trait.service === service && parts.includes(trait.part)))
    if (hasOtherSuspect) return false
    trials.set(key, { fingerprint: request.fingerprint, atMs: nowMs })
    log.emit('promptPartTried', { service, parts, fingerprint: request.fingerprint, crashes })
    return true
  }

  /** A sighting as it is told to others. */
  const toTold = ({ atMs, learnedMs, isOwn, ...sighting }: KeptSighting): CrashSighting => ({ ...sighting, ageMs: Math.max(0, Math.round(runtime.monotonicMs() - atMs)) })

  const isNewsNow = ({ learnedMs }: { learnedMs: number }): boolean => runtime.monotonicMs() - learnedMs <= TOLD_MS

  return {
    noteCrash (request, { id, bornMs }) {
      const nowMs = runtime.monotonicMs()
      const suspects = listTraits(request).filter(trait => !answers.isVoid(trait, nowMs))
      const known = suspects.filter(trait => !isWholeRequest(trait) && sightings.listOf(trait).length > 0)
      const others = suspects.filter(trait => !isWholeRequest(trait) && !known.includes(trait))
      for (const { service, part } of [...suspects.filter(isWholeRequest), ...[...known, ...others].slice(0, MAX_PARTS_PER_CRASH)]) {
        const position = request.promptParts.indexOf(part)
        addSighting({ service, part, request: request.fingerprint, targetId: id, bornMs, ...(position < 0 ? {} : { position }), atMs: nowMs, learnedMs: nowMs, isOwn: true })
      }
    },
    noteAnswered (request) {
      const cleared = listTraits(request).filter(trait => {
        answers.record(trait, runtime.monotonicMs())
        return sightings.size() > 0 && acquit(trait)
      })
      if (cleared.length > 0) update(runtime.monotonicMs())
    },
    findCrashing (request) {
      // A call that was held back until now may ask before the timer has fired.
      if (settling !== undefined && settling.dueMs <= runtime.monotonicMs()) updateSettled()
      if (crashing.length === 0) return undefined
      if (dropExpired()) update(runtime.monotonicMs())
      const keys = new Set(listTraits(request).map(traitKey))
      const found = crashing.find(({ service, parts }) => parts.every(part => keys.has(traitKey({ service, part }))))
      if (found === undefined || (found.isAmbiguous && mayTry(request, found))) return undefined
      const timesMs = sightings.listOf({ service: found.service, part: found.parts[0]! }).map(({ atMs }) => atMs)
      return { ...found, kind: kindOf({ part: found.parts[0]! }), lastCrashAgeMs: Math.round(runtime.monotonicMs() - Math.max(...timesMs)) }
    },
    settlingMs (request) {
      if (sightings.size() === 0) return 0
      const held = listTraits(request).filter(trait => sightings.countEngines(trait) >= MIN_HELD_CRASHES)
      return Math.max(0, ...held.flatMap(sightings.listOf).map(({ learnedMs }) => learnedMs + SETTLING_MS - runtime.monotonicMs()))
    },
    countCrashes: request => Math.max(0, ...listTraits(request).map(sightings.countEngines)),
    onFound (listener) {
      listeners.add(listener)
      return { [Symbol.dispose]: () => { listeners.delete(listener) } }
    },
    newsFor (ip) {
      if (sightings.size() + objections.size === 0) return { sightings: [], answered: [] }
      const nowMs = runtime.monotonicMs()
      const isRetold = nowMs - (retoldMs.get(ip) ?? -Infinity) >= RETOLD_INTERVAL_MS
      if (isRetold) {
        if (dropExpired()) update(nowMs)
        retoldMs.set(ip, nowMs)
      }
      const select = <Entry extends { learnedMs: number }>(entries: Iterable<Entry>): Entry[] => [...entries].filter(entry => isRetold || isNewsNow(entry))
      return {
        sightings: sortByUse(select(sightings.list())).slice(0, MAX_TOLD).map(toTold),
        answered: select(objections.values()).slice(-MAX_TOLD).map(({ service, part }) => ({ service, part, ageMs: Math.max(0, Math.round(nowMs - answers.latestMs({ service, part }))) })).filter(({ ageMs }) => Number.isFinite(ageMs))
      }
    },
    applyNews (news) {
      const nowMs = runtime.monotonicMs()
      let hasNews = false
      for (const { ageMs, ...trait } of news.answered) {
        const knownMs = answers.latestMs(trait)
        answers.record(trait, nowMs - ageMs)
        const isNews = nowMs - ageMs > knownMs + MIN_ANSWER_PROGRESS_MS
        if (isNews) object(trait)
        hasNews = acquit(trait) || isNews || hasNews
      }
      for (const { ageMs, ...sighting } of news.sightings) {
        const atMs = nowMs - ageMs
        if (ageMs > CRASH_VALID_MS) continue
        if (!answers.isVoid(sighting, atMs)) hasNews = addSighting({ ...sighting, atMs, learnedMs: nowMs, isOwn: false }) || hasNews
        else if (!objections.has(traitKey(sighting))) {
          object(sighting)
          hasNews = true
        }
      }
      if (hasNews) update(nowMs)
      return hasNews
    },
    verdicts () {
      if (crashing.length > 0 && dropExpired()) update(runtime.monotonicMs())
      const held = sightings.list().filter(isCrashing)
      return {
        key: crashing.map(({ service, parts }) => JSON.stringify([service, parts])).sort().join('\n'),
        isOwn: held.some(({ isOwn }) => isOwn),
        sightings: held.length === 0 ? [] : sortByUse(sightings.list()).slice(0, MAX_STORED).map(toTold)
      }
    },
    counts (kind) {
      const suspected = new Set(sightings.list().filter(sighting => kindOf(sighting) === kind && isSuspected(sighting)).map(traitKey))
      const found = new Set(crashing.flatMap(({ service, parts }) => parts.filter(part => kindOf({ part }) === kind).map(part => traitKey({ service, part }))))
      return { suspected: [...suspected].filter(key => !found.has(key)).length, crashing: found.size }
    }
  }

  /** First what is known to crash engines, then traits with many crashes, then what is new; a digest has room for the first of them only. */
  function sortByUse (told: readonly KeptSighting[]): KeptSighting[] {
    const engineCounts = new Map<string, number>()
    for (const sighting of told) engineCounts.set(traitKey(sighting), sightings.countEngines(sighting))
    const engines = (sighting: KeptSighting): number => engineCounts.get(traitKey(sighting))!
    return [...told].sort((a, b) => Number(isCrashing(b)) - Number(isCrashing(a)) || engines(b) - engines(a) || b.learnedMs - a.learnedMs)
  }
}
