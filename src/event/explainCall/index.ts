/**
 * Why a call at a gateway ended as it did, from the logs of all hosts alone: its own events, and
 * what was found out shortly before about the targets that it was sent to and about the store.
 */
import { mergeTimeline } from '../mergeTimeline/index.js'
import type { LoggedEvent } from '../types.js'

/** What became of a call. */
export interface CallExplanation {
  request: string
  outcome: 'answered' | 'refused' | 'failed' | 'callerGone' | 'unknown'
  /** Host that took the call. */
  host: string | undefined
  /** One sentence on the cause. */
  cause: string
  /** Facts that show it, in causal order. */
  evidence: string[]
  /** Events of the call, and others that bear on it, in causal order. */
  events: LoggedEvent[]
}

/** Time before a call's end in which events elsewhere may bear on it, in milliseconds; lists and suspicions settle within. */
const CONTEXT_MS = 5_000

/** Pause between two events, and time to the first one, from which a call counts as late, in milliseconds. */
const LATE_PAUSE_MS = 250
const LATE_FIRST_MS = 500

const FINAL: Record<string, CallExplanation['outcome']> = { gatewayAnswered: 'answered', gatewayRefused: 'refused', gatewayFailed: 'failed', callerGone: 'callerGone' }

/** Events that tell of targets, by the field that names them. */
const TARGET_EVENTS = new Set(['targetSuspected', 'targetLeaving', 'orderSent', 'layersLoaded', 'targetUnavailable'])

/** Events of the host that took the call. */
const HOST_EVENTS = new Set(['storeUnavailable', 'storeRecovered', 'processStarted', 'processDraining', 'drainCut', 'unexpectedError'])

/** What a refusal's reason says of the cause. */
const REFUSALS: Record<string, (event: LoggedEvent) => string> = {
  overloaded: event => `no path had room within ${textOf(event.waitedMs)} ms; ${textOf(event.queueLength)} other calls waited`,
  noPipeline: () => 'every engine that it was sent to refused it unrun',
  targetUnreachable: () => 'no target of the service took it',
  unauthorized: event => `its key is not in version ${textOf(event.version)} of the configuration`,
  unknownPath: event => `version ${textOf(event.version)} of the configuration has no route for ${textOf(event.path)}`,
  notReady: () => 'the host had read no configuration yet',
  draining: () => 'the host was shutting down'
}

/**
 * @name explainCall
 * @summary Explains one call.
 * @param events - Events of any hosts, in any order.
 * @param request - Identity of the call.
 * @returns The explanation, or `undefined` when no event names the call.
 *
 * @example
 * explainCall(events, '294847ccc3938b5a')?.cause
 */
export function explainCall (events: readonly LoggedEvent[], request: string): CallExplanation | undefined {
  const own = mergeTimeline(events, { filter: { request } })
  if (own.length === 0) return undefined
  const last = own.findLast(event => event.name in FINAL)
  const host = (last ?? own.at(-1)!).host
  const related = findRelated(events, own, host)
  const all = mergeTimeline([...own, ...related])
  return {
    request,
    outcome: last === undefined ? 'unknown' : FINAL[last.name]!,
    host,
    cause: last === undefined ? describeLost(events, own) : describeCause(last, own),
    evidence: all.map(event => describeEvidence(event, all[0]!.wallMs)),
    events: all
  }
}

/** Events about the call's targets, its host and the store shortly before its end. */
function findRelated (events: readonly LoggedEvent[], own: readonly LoggedEvent[], host: string): LoggedEvent[] {
  const endMs = own.at(-1)!.wallMs
  const targets = new Set(own.flatMap(event => listTargets(event)))
  return events.filter(event => {
    if (event.request !== undefined || event.wallMs > endMs || event.wallMs < endMs - CONTEXT_MS) return false
    if (HOST_EVENTS.has(event.name)) return event.host === host
    return TARGET_EVENTS.has(event.name) && listTargets(event).some(target => targets.has(target))
  })
}

/** Targets that an event names, alone, in a list or in the stages of an attempt. */
function listTargets ({ target, removedIds, leavingIds, attempts, path }: LoggedEvent): string[] {
  const stages = [attempts, path].flatMap(texts => Array.isArray(texts) ? texts.map(String) : [])
  const named = stages.flatMap(text => text.split(',').map(stage => /^[^\s:]+/.exec(stage)?.[0] ?? ''))
  const lists = [removedIds, leavingIds].flatMap(ids => Array.isArray(ids) ? ids.map(String) : [])
  return [...(target === undefined ? [] : [target]), ...lists, ...named].filter(id => id !== '')
}

function describeCause (last: LoggedEvent, own: readonly LoggedEvent[]): string {
  if (last.name === 'gatewayRefused') return `refused without having run: ${REFUSALS[String(last.reason)]?.(last) ?? String(last.reason)}`
  if (last.name === 'callerGone') return `the caller left after ${textOf(last.tookMs)} ms`
  const attempts = Array.isArray(last.attempts) ? last.attempts.map(String) : []
  if (last.name === 'gatewayFailed') {
    const why = last.reason === 'deadlinePassed' ? 'its deadline passed' : last.cause === undefined ? 'its attempts were used up' : String(last.cause)
    return `ended without an answer after ${attempts.length} attempts: ${why}`
  }
  return describeAnswer(last, own)
}

function describeAnswer (last: LoggedEvent, own: readonly LoggedEvent[]): string {
  const moves = own.filter(event => event.name === 'pathReplaced' || event.name === 'streamResumed')
  if (Number(last.waitedMs) > LATE_FIRST_MS) return `answered late: it waited ${textOf(last.waitedMs)} ms for room`
  if (Number(last.firstEventMs) > LATE_FIRST_MS) return `answered late: its first event took ${textOf(last.firstEventMs)} ms, without a wait for room`
  if (Number(last.longestPauseMs) <= LATE_PAUSE_MS || last.longestPauseMs === undefined) return 'answered whole and in time'
  const cause = moves.length > 0 ? `after ${moves.length} changes of its path (${moves.map(event => textOf(event.cause)).join('; ')})` : 'while its path stayed the same, so that its engines were busy with others'
  return `answered late: it paused for ${textOf(last.longestPauseMs)} ms ${cause}`
}

/** A call whose end no host logged: its host ended, or the lines are missing. */
function describeLost (events: readonly LoggedEvent[], own: readonly LoggedEvent[]): string {
  const { host, wallMs } = own.at(-1)!
  const restart = events.find(event => event.name === 'processStarted' && event.host === host && event.wallMs > wallMs)
  return restart === undefined ? 'no end was logged; lines of its host are missing' : `its host ended: the process started again ${restart.wallMs - wallMs} ms after the call's last event`
}

function describeEvidence (event: LoggedEvent, startMs: number): string {
  const facts = ['reason', 'cause', 'status', 'result', 'attempts', 'target', 'removedIds', 'leavingIds', 'waitedMs', 'firstEventMs', 'longestPauseMs', 'targetsAgeMs', 'version', 'prefix']
    .filter(field => event[field] !== undefined)
    .map(field => `${field} ${textOf(event[field])}`)
  return `+${event.wallMs - startMs} ms ${event.host}: ${event.text}${facts.length === 0 ? '' : ` (${facts.join(', ')})`}`
}

function textOf (value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value) ?? 'unknown'
}
