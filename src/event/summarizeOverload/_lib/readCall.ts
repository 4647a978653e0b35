/**
 * Reads from the event that ended a call how it ended for its caller.
 */
import { listTargets } from '../../listTargets/index.js'
import type { LoggedEvent } from '../../types.js'

/** Limits of a route within which an answer is in time, in milliseconds; what is unknown is `undefined`. */
export interface RouteLimits {
  objectiveMs?: number
  gapObjectiveMs?: number
}

/** Ways in which a call ends. `answered`: whether in time cannot be told. `leftMidway`: the caller left after it had received events. */
export const OUTCOMES = ['inTime', 'late', 'answered', 'refusedOnArrival', 'refusedAfterWaiting', 'notAllowed', 'failed', 'brokenOff', 'left', 'leftMidway'] as const
export type Outcome = typeof OUTCOMES[number]

/** One call as its last event tells it. */
export interface EndedCall {
  outcome: Outcome
  route: string
  account: string | undefined
  host: string
  promptTokens: number | undefined
  /** Time from arrival to end, in milliseconds. */
  tookMs: number
  /** Unix time of its arrival and its end, in milliseconds. */
  arrivedMs: number
  endedMs: number
  /** Calls that waited at its host when it ended. */
  queueLength: number | undefined
  /** Targets that it was sent to. */
  targets: string[]
}

/** Events that end a call. */
export const FINAL_EVENTS: ReadonlySet<string> = new Set(['gatewayAnswered', 'gatewayRefused', 'gatewayFailed', 'callerGone'])

/** Share of its objective for which a call may be held and still count as refused on arrival. */
const ARRIVAL_SHARE = 1 / 8

/** The same for a route of unknown objective, in milliseconds. */
const USUAL_ARRIVAL_MS = 50

/** Reasons for which a call is refused whatever the load. */
const LOAD_REASONS = new Set(['overloaded', 'noPipeline', 'targetUnreachable', 'accountLimit', 'draining', 'notReady', 'storeUnavailable', 'staleConfiguration', 'promptCrashesEngines', 'requestCrashesEngines'])

/** Reads one final event; limits on its line come before those given. */
export function readCall (event: LoggedEvent, given: RouteLimits): EndedCall {
  const limits = { objectiveMs: numberOf(event.objectiveMs) ?? given.objectiveMs, gapObjectiveMs: numberOf(event.gapObjectiveMs) ?? given.gapObjectiveMs }
  const tookMs = numberOf(event.tookMs) ?? 0
  return {
    outcome: findOutcome(event, limits),
    route: typeof event.route === 'string' ? event.route : 'none',
    account: event.account,
    host: event.host,
    promptTokens: numberOf(event.promptTokens),
    tookMs,
    arrivedMs: event.wallMs - tookMs,
    endedMs: event.wallMs,
    queueLength: numberOf(event.queueLength),
    targets: listTargets(event)
  }
}

function findOutcome (event: LoggedEvent, { objectiveMs, gapObjectiveMs }: RouteLimits): Outcome {
  const tookMs = numberOf(event.tookMs) ?? 0
  if (event.name === 'callerGone') return numberOf(event.lastEventId) === undefined ? 'left' : 'leftMidway'
  if (event.name === 'gatewayFailed') return event.isCut === true ? 'brokenOff' : 'failed'
  if (event.name === 'gatewayRefused') {
    if (!LOAD_REASONS.has(String(event.reason))) return 'notAllowed'
    const arrivalMs = objectiveMs === undefined ? USUAL_ARRIVAL_MS : objectiveMs * ARRIVAL_SHARE
    return tookMs <= arrivalMs ? 'refusedOnArrival' : 'refusedAfterWaiting'
  }
  if (Number(event.status) >= 500) return 'failed'
  if (objectiveMs === undefined) return 'answered'
  const firstEventMs = numberOf(event.firstEventMs)
  const longestPauseMs = numberOf(event.longestPauseMs)
  const isLate = (firstEventMs ?? tookMs) > objectiveMs || (longestPauseMs !== undefined && gapObjectiveMs !== undefined && longestPauseMs > gapObjectiveMs)
  if (isLate) return 'late'
  return longestPauseMs !== undefined && gapObjectiveMs === undefined ? 'answered' : 'inTime'
}

function numberOf (value: unknown): number | undefined {
  return typeof value === 'number' && Number.isFinite(value) ? value : undefined
}
