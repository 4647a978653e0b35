/**
 * Sums up from the events of any hosts how calls ended: by route, client account, failure domain
 * of the host and size of the prompt, and second by second. What the lines lack is listed, so that
 * a column that is empty for want of a field is not taken for a zero.
 */
import { mergeTimeline } from '../mergeTimeline/index.js'
import type { LoggedEvent } from '../types.js'
import { groupBy } from './_lib/groupBy.js'
import { listLacking } from './_lib/listLacking.js'
import { FINAL_EVENTS, OUTCOMES, readCall, type EndedCall, type Outcome, type RouteLimits } from './_lib/readCall.js'

export { OUTCOMES, type Outcome, type RouteLimits } from './_lib/readCall.js'

/** How the calls of one group ended. */
export interface OverloadRow extends Record<Outcome, number> {
  key: string
  /** All calls of the group, a caller's repeats each for itself. */
  offered: number
  /** Time that calls refused after waiting were held, in milliseconds; `undefined` without any. */
  heldP50Ms: number | undefined
  heldP95Ms: number | undefined
}

/** One second of the log. */
export interface OverloadSecond {
  /** Seconds since the arrival of the first call. */
  second: number
  /** Calls that arrived, without those that are not allowed. */
  demand: number
  /** Calls that ended, by their end. */
  answered: number
  refused: number
  left: number
  /** Calls that waited at all hosts: the sum of each host's longest queue; `undefined` when no line tells. */
  queue: number | undefined
  /** Targets to which the calls that ended were sent. */
  targets: number
}

/** How a log's calls ended. */
export interface OverloadSummary {
  /** Unix time of the first arrival, in milliseconds. */
  startMs: number
  total: OverloadRow
  byRoute: OverloadRow[]
  byAccount: OverloadRow[]
  byFailureDomain: OverloadRow[]
  /** Tenths of the calls whose size is known, smallest first. */
  byPromptSize: OverloadRow[]
  seconds: OverloadSecond[]
  /** What the log lacks, one sentence each. */
  lacking: string[]
}

/** Name of a group whose field is missing. */
const UNKNOWN = 'unknown'
const SIZE_GROUPS = 10
const MS_PER_S = 1_000

/** Longest log that is told by second: a day. */
const MAX_SECONDS = 86_400

/**
 * @name summarizeOverload
 * @summary Counts how calls ended, by group and by second.
 * @param events - Events of any hosts, in any order; duplicates count once.
 * @param limitsOf - Objective and longest pause of a route, for lines that hold none.
 * @returns The summary.
 *
 * @example
 * summarizeOverload(events, () => ({ objectiveMs: 500 })).total.inTime
 */
export function summarizeOverload (events: readonly LoggedEvent[], limitsOf: (route: string) => RouteLimits): OverloadSummary {
  const merged = mergeTimeline(events)
  const calls = merged.filter(event => FINAL_EVENTS.has(event.name)).map(event => readCall(event, limitsOf(String(event.route))))
  const domains = new Map(merged.flatMap(({ name, host, failureDomain }) => name === 'processStarted' && typeof failureDomain === 'string' ? [[host, failureDomain] as const] : []))
  const startMs = calls.reduce((earliest, { arrivedMs }) => Math.min(earliest, arrivedMs), calls[0]?.arrivedMs ?? 0)
  const seconds = countSeconds(calls, startMs)
  return {
    startMs,
    total: countCalls('all', calls),
    byRoute: groupCalls(calls, ({ route }) => route),
    byAccount: groupCalls(calls, ({ account }) => account ?? UNKNOWN),
    byFailureDomain: groupCalls(calls, ({ host }) => domains.get(host) ?? UNKNOWN),
    byPromptSize: groupBySize(calls),
    seconds,
    lacking: [
      ...(calls.length > 0 && seconds.length === 0 ? ['seconds: the lines span more than a day, or a clock was wrong'] : []),
      ...listLacking(merged, calls, domains)
    ]
  }
}

function groupCalls (calls: readonly EndedCall[], keyOf: (call: EndedCall) => string): OverloadRow[] {
  const groups = groupBy(calls, keyOf)
  return [...groups].map(([key, group]) => countCalls(key, group)).sort((a, b) => b.offered - a.offered || (a.key < b.key ? -1 : 1))
}

/** Groups of equal number by size of prompt; calls without a prompt are left out. */
function groupBySize (calls: readonly EndedCall[]): OverloadRow[] {
  const sized = calls.filter(({ promptTokens }) => promptTokens !== undefined && promptTokens > 0).sort((a, b) => a.promptTokens! - b.promptTokens!)
  const groups = Array.from({ length: SIZE_GROUPS }, (_, group) => sized.slice(Math.floor(group * sized.length / SIZE_GROUPS), Math.floor((group + 1) * sized.length / SIZE_GROUPS)))
  return groups.filter(group => group.length > 0).map(group => countCalls(`${group[0]!.promptTokens!} to ${group.at(-1)!.promptTokens!} tokens`, group))
}

function countCalls (key: string, calls: readonly EndedCall[]): OverloadRow {
  const counts = Object.fromEntries(OUTCOMES.map(outcome => [outcome, calls.filter(call => call.outcome === outcome).length])) as Record<Outcome, number>
  const heldMs = calls.filter(({ outcome }) => outcome === 'refusedAfterWaiting').map(({ tookMs }) => tookMs).sort((a, b) => a - b)
  return { key, offered: calls.length, ...counts, heldP50Ms: quantileOf(heldMs, 0.5), heldP95Ms: quantileOf(heldMs, 0.95) }
}

/** Nearest rank in a sorted list. */
function quantileOf (sorted: readonly number[], share: number): number | undefined {
  return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)]
}

function countSeconds (calls: readonly EndedCall[], startMs: number): OverloadSecond[] {
  const secondOf = (timeMs: number): number => Math.floor((timeMs - startMs) / MS_PER_S)
  const arrivals = groupBy(calls.filter(({ outcome }) => outcome !== 'notAllowed'), ({ arrivedMs }) => secondOf(arrivedMs))
  const ends = groupBy(calls, ({ endedMs }) => secondOf(endedMs))
  const length = Math.max(0, ...arrivals.keys(), ...ends.keys()) + (calls.length > 0 ? 1 : 0)
  if (length > MAX_SECONDS) return []
  return Array.from({ length }, (_, second) => {
    const ended = ends.get(second) ?? []
    return {
      second,
      demand: arrivals.get(second)?.length ?? 0,
      answered: ended.filter(({ outcome }) => outcome === 'inTime' || outcome === 'late' || outcome === 'answered').length,
      refused: ended.filter(({ outcome }) => outcome === 'refusedOnArrival' || outcome === 'refusedAfterWaiting').length,
      left: ended.filter(({ outcome }) => outcome === 'left' || outcome === 'leftMidway').length,
      queue: sumLongestQueues(ended),
      targets: new Set(ended.flatMap(({ targets }) => targets)).size
    }
  })
}

function sumLongestQueues (calls: readonly EndedCall[]): number | undefined {
  const byHost = groupBy(calls.filter(({ queueLength }) => queueLength !== undefined), ({ host }) => host)
  if (byHost.size === 0) return undefined
  return [...byHost.values()].reduce((sum, group) => sum + Math.max(...group.map(({ queueLength }) => queueLength!)), 0)
}
