/**
 * Evidence of one host, with that of its peers, on parts of prompts that crash engines.
 *
 * A crash counts against the parts of every prompt whose answer had just begun, except for the last
 * part, which belongs to one request, and for parts that were answered completely a short time
 * before. A complete answer anywhere voids what was held against its parts. Nothing is voided by
 * waiting: a request that is tried to see whether its part is sound may cost another engine.
 *
 * Hosts tell each other what is new at once, and everything at intervals, so that lost digests do
 * no harm and a host that has just started learns what the others know.
 */
import type { EventLog } from '../../event/types.js'
import type { Target } from '../../fleet/types.js'
import type { Runtime } from '../../runtime/types.js'
import { ANSWER_VALID_MS, createAnsweredParts, partKey } from '../_lib/createAnsweredParts.js'
import { findLeastUseful } from '../_lib/findLeastUseful.js'
import { findCrashingParts } from '../findCrashingParts/index.js'
import type { CrashingParts, CrashNews, CrashSighting } from '../types.js'

/** A change of what is held against a part. */
export type CrashVerdict = 'suspected' | 'crashing' | 'sound'

/** What is known of the parts of prompts. */
export interface CrashEvidence {
  /** Records that an engine ended when it had just begun to answer a prompt. */
  noteCrash: (service: string, promptParts: readonly string[], target: Target) => void
  /** Records that a prompt was answered completely, or so far that it does not crash engines. */
  noteAnswered: (service: string, promptParts: readonly string[]) => void
  /** The parts of a prompt that crash engines, with the age of the latest crash. */
  findCrashing: (service: string, promptParts: readonly string[]) => (CrashingParts & { lastCrashAgeMs: number }) | undefined
  /** Largest number of crashes held against one part of a prompt. */
  countCrashes: (service: string, promptParts: readonly string[]) => number
  /** How long to hold a prompt back until the latest of several crashes held against one of its parts counts, in milliseconds. */
  settlingMs: (service: string, promptParts: readonly string[]) => number
  /** Calls the listener when more parts are known to crash engines. */
  onFound: (listener: () => void) => Disposable
  /** What to tell a neighbor now. */
  newsFor: (ip: string) => CrashNews
  /** Applies what a neighbor told; returns whether something was new. */
  applyNews: (news: CrashNews) => boolean
  /** Numbers of parts that are suspected, and that are known to crash engines. */
  counts: () => { suspected: number, crashing: number }
}

interface EvidenceOptions {
  runtime: Runtime
  log: EventLog
  /** Called with each change of what is held against a part. */
  onVerdict?: (verdict: CrashVerdict) => void
}

/** Time after a crash for which it counts, in milliseconds; a fleet whose engines were repaired serves the part again after it. */
const CRASH_VALID_MS = 3_600_000

/** Time from the first sighting of a crash until it counts, in milliseconds; until then some hosts have told only that it also struck other prompts. */
const SETTLING_MS = 300

/** Crashes held against a part from which its prompts are held back while the latest crash settles. */
const MIN_HELD_CRASHES = 2

/** Bounds of what is kept; callers choose the ids of parts. */
const MAX_SIGHTINGS = 512
const MAX_SIGHTINGS_PER_PART = 16
const MAX_PARTS_PER_CRASH = 8

/** How long something new is told in each digest, in milliseconds; a few digests, as one may be lost. */
const TOLD_MS = 350

/** Interval at which a neighbor is told everything, in milliseconds. */
const RETOLD_INTERVAL_MS = 500

/** Most entries of each kind in one digest. */
const MAX_TOLD = 40

/** Least progress of the time of an answer that is news, in milliseconds. */
const MIN_ANSWER_PROGRESS_MS = 10_000

/** A sighting with its monotonic times in milliseconds. */
interface KeptSighting extends Omit<CrashSighting, 'ageMs'> {
  atMs: number
  learnedMs: number
}

/** The latest answer to a part over which hosts disagreed. */
interface Objection {
  service: string
  part: string
  learnedMs: number
}

/**
 * @name createCrashEvidence
 * @summary Creates the evidence of one host, which is empty.
 * @param options - Runtime, log, and a callback for metrics.
 * @returns The evidence.
 *
 * @example
 * evidence.noteCrash(service.name, facts.promptParts, target)
 * if (evidence.findCrashing(service.name, facts.promptParts) !== undefined) refuse()
 */
export function createCrashEvidence ({ runtime, log, onVerdict = () => {} }: EvidenceOptions): CrashEvidence {
  const sightings = new Map<string, KeptSighting>()
  const answered = createAnsweredParts()
  const objections = new Map<string, Objection>()
  const retoldMs = new Map<string, number>()
  const listeners = new Set<() => void>()
  let crashing: CrashingParts[] = []
  /** When the next crash counts, in monotonic milliseconds, with the timer for it. */
  let settling: { dueMs: number, timer: Disposable } | undefined

  const listKept = (service: string, part: string): KeptSighting[] =>
    [...sightings.values()].filter(sighting => sighting.service === service && sighting.part === part)

  const engineOf = ({ targetId, bornMs }: KeptSighting): string => `${targetId} ${bornMs}`
  const countEngines = (kept: readonly KeptSighting[]): number => new Set(kept.map(engineOf)).size

  /** Sightings of the crashes of which this host has known for long enough. */
  function listSettled (): KeptSighting[] {
    const settledEngines = new Set([...sightings.values()].filter(({ learnedMs }) => runtime.monotonicMs() - learnedMs >= SETTLING_MS).map(engineOf))
    return [...sightings.values()].filter(sighting => settledEngines.has(engineOf(sighting)))
  }

  function updateWhenSettled (): void {
    if (settling !== undefined) return
    const nowMs = runtime.monotonicMs()
    const dueMs = Math.min(...[...sightings.values()].map(({ learnedMs }) => learnedMs + SETTLING_MS).filter(atMs => atMs > nowMs))
    if (Number.isFinite(dueMs)) settling = { dueMs, timer: runtime.setTimer(dueMs - nowMs, updateSettled) }
  }

  function updateSettled (): void {
    settling?.timer[Symbol.dispose]()
    settling = undefined
    update()
    updateWhenSettled()
  }

  const isCrashing = (service: string, part: string): boolean => crashing.some(found => found.service === service && found.parts.includes(part))

  /** Tells the other hosts that a part was answered. */
  function object (service: string, part: string): void {
    objections.set(partKey(service, part), { service, part, learnedMs: runtime.monotonicMs() })
    if (objections.size > MAX_SIGHTINGS) objections.delete(objections.keys().next().value!)
  }

  /** Drops what is held against a part; returns whether there was anything. */
  function acquit (service: string, part: string): boolean {
    const wasCrashing = isCrashing(service, part)
    let hasDropped = false
    for (const [key, sighting] of sightings) {
      if (sighting.service !== service || sighting.part !== part || !answered.isVoid(service, part, sighting.atMs)) continue
      sightings.delete(key)
      hasDropped = true
    }
    if (!hasDropped) return false
    object(service, part)
    log.emit('promptPartSound', { service, part, wasCrashing, answeredAgeMs: Math.round(runtime.monotonicMs() - answered.latestMs(service, part)) })
    onVerdict('sound')
    return true
  }

  /** Adds a sighting; returns whether it is new. */
  function addSighting (sighting: KeptSighting): boolean {
    const { service, part, request, targetId, bornMs } = sighting
    const key = JSON.stringify([service, part, request, targetId, bornMs])
    if (sightings.has(key)) return false
    const kept = listKept(service, part)
    if (kept.length >= MAX_SIGHTINGS_PER_PART) return false
    sightings.set(key, sighting)
    if (sightings.size > MAX_SIGHTINGS) sightings.delete(findLeastUseful(sightings)!)
    updateWhenSettled()
    if (kept.length === 0) {
      log.emit('promptPartSuspected', { service, part, target: targetId, ageMs: Math.round(runtime.monotonicMs() - sighting.atMs) })
      onVerdict('suspected')
    }
    return true
  }

  /** Drops what is too old to count; returns whether that were crashes. */
  function dropExpired (): boolean {
    const nowMs = runtime.monotonicMs()
    const countBefore = sightings.size
    for (const [key, { atMs }] of sightings) if (nowMs - atMs > CRASH_VALID_MS) sightings.delete(key)
    for (const [key, { learnedMs }] of objections) if (nowMs - learnedMs > ANSWER_VALID_MS) objections.delete(key)
    for (const [ip, atMs] of retoldMs) if (nowMs - atMs > ANSWER_VALID_MS) retoldMs.delete(ip)
    return sightings.size < countBefore
  }

  function update (): void {
    dropExpired()
    const known = new Set(crashing.map(({ service, parts }) => JSON.stringify([service, parts])))
    crashing = findCrashingParts(listSettled())
    const found = crashing.filter(({ service, parts }) => !known.has(JSON.stringify([service, parts])))
    for (const { service, parts, crashes, requests } of found) {
      log.emit('promptPartCrashing', { service, parts, crashes, requests, targets: [...new Set(parts.flatMap(part => listKept(service, part).map(({ targetId }) => targetId)))] })
      onVerdict('crashing')
    }
    if (found.length > 0) for (const listener of [...listeners]) listener()
  }

  const isNewsNow = ({ learnedMs }: { learnedMs: number }): boolean => runtime.monotonicMs() - learnedMs <= TOLD_MS

  return {
    noteCrash (service, promptParts, { id, bornMs }) {
      const request = promptParts.at(-1)
      const nowMs = runtime.monotonicMs()
      const shared = [...new Set(promptParts.slice(0, -1))].filter(part => !answered.isVoid(service, part, nowMs))
      const known = shared.filter(part => listKept(service, part).length > 0)
      const others = shared.filter(part => !known.includes(part))
      for (const part of [...known, ...others].slice(0, MAX_PARTS_PER_CRASH)) {
        addSighting({ service, part, request: request!, targetId: id, bornMs, atMs: nowMs, learnedMs: nowMs })
      }
    },
    noteAnswered (service, promptParts) {
      const dropped = promptParts.slice(0, -1).filter(part => {
        answered.record(service, part, runtime.monotonicMs())
        return sightings.size > 0 && acquit(service, part)
      })
      if (dropped.length > 0) update()
    },
    findCrashing (service, promptParts) {
      // A call that was held back until now may ask before the timer has fired.
      if (settling !== undefined && settling.dueMs <= runtime.monotonicMs()) updateSettled()
      if (crashing.length === 0) return undefined
      if (dropExpired()) update()
      const shared = new Set(promptParts.slice(0, -1))
      const found = crashing.find(candidate => candidate.service === service && candidate.parts.every(part => shared.has(part)))
      if (found === undefined) return undefined
      const times = listKept(service, found.parts[0]!).map(({ atMs }) => atMs)
      return { ...found, lastCrashAgeMs: Math.round(runtime.monotonicMs() - Math.max(...times)) }
    },
    settlingMs (service, promptParts) {
      if (sightings.size === 0) return 0
      const held = promptParts.slice(0, -1).map(part => listKept(service, part)).filter(kept => countEngines(kept) >= MIN_HELD_CRASHES)
      return Math.max(0, ...held.flat().map(({ learnedMs }) => learnedMs + SETTLING_MS - runtime.monotonicMs()))
    },
    countCrashes: (service, promptParts) => Math.max(0, ...promptParts.slice(0, -1).map(part => countEngines(listKept(service, part)))),
    onFound (listener) {
      listeners.add(listener)
      return { [Symbol.dispose]: () => { listeners.delete(listener) } }
    },
    newsFor (ip) {
      if (sightings.size + objections.size === 0) return { sightings: [], answered: [] }
      const nowMs = runtime.monotonicMs()
      const isRetold = nowMs - (retoldMs.get(ip) ?? -Infinity) >= RETOLD_INTERVAL_MS
      if (isRetold) {
        if (dropExpired()) update()
        retoldMs.set(ip, nowMs)
      }
      const select = <Entry extends { learnedMs: number }>(entries: Iterable<Entry>): Entry[] => [...entries].filter(entry => isRetold || isNewsNow(entry))
      const told = select(sightings.values()).sort((a, b) => Number(isCrashing(b.service, b.part)) - Number(isCrashing(a.service, a.part)) || b.learnedMs - a.learnedMs)
      return {
        sightings: told.slice(0, MAX_TOLD).map(({ atMs, learnedMs, ...sighting }) => ({ ...sighting, ageMs: Math.max(0, Math.round(nowMs - atMs)) })),
        answered: select(objections.values()).slice(-MAX_TOLD).map(({ service, part }) => ({ service, part, ageMs: Math.max(0, Math.round(nowMs - answered.latestMs(service, part))) })).filter(({ ageMs }) => Number.isFinite(ageMs))
      }
    },
    applyNews (news) {
      const nowMs = runtime.monotonicMs()
      let hasNews = false
      for (const { service, part, ageMs } of news.answered) {
        const knownMs = answered.latestMs(service, part)
        answered.record(service, part, nowMs - ageMs)
        const isNews = nowMs - ageMs > knownMs + MIN_ANSWER_PROGRESS_MS
        if (isNews) object(service, part)
        hasNews = acquit(service, part) || isNews || hasNews
      }
      for (const { ageMs, ...sighting } of news.sightings) {
        const atMs = nowMs - ageMs
        if (ageMs > CRASH_VALID_MS) continue
        if (!answered.isVoid(sighting.service, sighting.part, atMs)) hasNews = addSighting({ ...sighting, atMs, learnedMs: nowMs }) || hasNews
        else if (!objections.has(partKey(sighting.service, sighting.part))) {
          object(sighting.service, sighting.part)
          hasNews = true
        }
      }
      if (hasNews) update()
      return hasNews
    },
    counts () {
      const parts = new Set([...sightings.values()].map(({ service, part }) => partKey(service, part)))
      const found = new Set(crashing.flatMap(({ service, parts: names }) => names.map(part => partKey(service, part))))
      return { suspected: [...parts].filter(part => !found.has(part)).length, crashing: found.size }
    }
  }
}
