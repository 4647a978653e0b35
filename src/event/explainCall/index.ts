/**
 * Explains from logs alone why a call to a gateway ended as it did: from the events of the call,
 * and from those that hosts logged shortly before its end about its targets, its host and the store.
 */
import { listTargets } from '../listTargets/index.js'
import { mergeTimeline } from '../mergeTimeline/index.js'
import type { LoggedEvent } from '../types.js'

/** Outcome of a call with its cause and the events that show it. */
export interface CallExplanation {
  request: string
  outcome: 'answered' | 'refused' | 'failed' | 'callerGone' | 'unknown'
  /** Host that handled the call. */
  host: string | undefined
  /** One sentence on the cause. */
  cause: string
  /** The events below as one line of text each. */
  evidence: string[]
  /** Events of the call and related ones, in causal order. */
  events: LoggedEvent[]
}

/** How long before the end of a call other events count as related, in milliseconds; changes of target lists and suspicions settle within this time. */
const RELATED_WINDOW_MS = 5_000

/** A call is late above these limits, in milliseconds: the pause between two events of its stream, and the wait for capacity or the time to its first event. */
const LATE_PAUSE_MS = 250
const LATE_FIRST_EVENT_MS = 500

/** Outcome of a call by the event that ended it. */
const OUTCOME_BY_FINAL_EVENT: Record<string, CallExplanation['outcome']> = { gatewayAnswered: 'answered', gatewayRefused: 'refused', gatewayFailed: 'failed', callerGone: 'callerGone' }

/** Events about targets. */
const TARGET_EVENTS = new Set(['targetSuspected', 'targetCrashed', 'targetLeaving', 'orderSent', 'layersLoaded', 'targetUnavailable'])

/** Events about a host itself; related when logged by the host that handled the call. */
const HOST_EVENTS = new Set(['storeUnavailable', 'storeRecovered', 'processStarted', 'processDraining', 'drainCut', 'unexpectedError'])

/** Cause of a refusal in words, by its reason. */
const REFUSAL_CAUSES: Record<string, (event: LoggedEvent) => string> = {
  overloaded: event => Number(event.pauseLeftMs) > 0 ? `each target that could take it wanted no requests from this host for ${formatValue(event.pauseLeftMs)} ms or more` : `no path had capacity within ${formatValue(event.waitedMs)} ms; ${formatValue(event.queueLength)} other calls waited${describeAdmission(event)}`,
  noPipeline: () => 'every engine that it was sent to refused it without running it',
  targetUnreachable: () => 'no target of the service accepted it',
  promptCrashesEngines: event => `part ${formatValue(event.parts)} of its prompt had crashed ${formatValue(event.crashes)} engines under ${formatValue(event.crashedRequests)} requests, the last ${formatValue(event.lastCrashAgeMs)} ms before`,
  unauthorized: event => `its key is not in version ${formatValue(event.version)} of the configuration`,
  unknownPath: event => `version ${formatValue(event.version)} of the configuration has no route for ${formatValue(event.path)}`,
  notReady: () => 'the host had not read a configuration yet',
  draining: () => 'the host was shutting down'
}

/**
 * @name explainCall
 * @summary Explains one call.
 * @param events - Events of any hosts, in any order.
 * @param request - Request id of the call.
 * @returns The explanation, or `undefined` when no event has this request id.
 *
 * @example
 * explainCall(events, '294847ccc3938b5a')?.cause
 */
export function explainCall (events: readonly LoggedEvent[], request: string): CallExplanation | undefined {
  const callEvents = mergeTimeline(events, { filter: { request } })
  if (callEvents.length === 0) return undefined
  const finalEvent = callEvents.findLast(event => event.name in OUTCOME_BY_FINAL_EVENT)
  const host = (finalEvent ?? callEvents.at(-1)!).host
  const related = findRelated(events, callEvents, host)
  const allEvents = mergeTimeline([...callEvents, ...related])
  return {
    request,
    outcome: finalEvent === undefined ? 'unknown' : OUTCOME_BY_FINAL_EVENT[finalEvent.name]!,
    host,
    cause: `${finalEvent === undefined ? describeMissingEnd(events, callEvents) : describeCause(finalEvent, callEvents)}${describeCut(callEvents)}`,
    evidence: allEvents.map(event => describeEvidence(event, allEvents[0]!.wallMs)),
    events: allEvents
  }
}

/** Events about the call's targets, its host and the store shortly before its end. */
function findRelated (events: readonly LoggedEvent[], callEvents: readonly LoggedEvent[], host: string): LoggedEvent[] {
  const endMs = callEvents.at(-1)!.wallMs
  const targets = new Set(callEvents.flatMap(event => listTargets(event)))
  return events.filter(event => {
    if (event.request !== undefined || event.wallMs > endMs || event.wallMs < endMs - RELATED_WINDOW_MS) return false
    if (HOST_EVENTS.has(event.name)) return event.host === host
    return TARGET_EVENTS.has(event.name) && listTargets(event).some(target => targets.has(target))
  })
}

function describeCause (finalEvent: LoggedEvent, callEvents: readonly LoggedEvent[]): string {
  if (finalEvent.name === 'gatewayRefused') return `refused without having run: ${REFUSAL_CAUSES[String(finalEvent.reason)]?.(finalEvent) ?? String(finalEvent.reason)}`
  if (finalEvent.name === 'callerGone') return `the caller disconnected after ${formatValue(finalEvent.tookMs)} ms`
  const tries = Array.isArray(finalEvent.attempts) ? finalEvent.attempts.length : finalEvent.tries ?? 0
  if (finalEvent.name === 'gatewayFailed') {
    const cause = finalEvent.reason === 'deadlinePassed' ? 'its deadline passed' : finalEvent.cause === undefined ? 'its attempts were used up' : String(finalEvent.cause)
    return `ended without ${finalEvent.isCut === true ? 'a complete' : 'an'} answer after ${formatValue(tries)} attempts: ${cause}`
  }
  return describeAnswer(finalEvent, callEvents)
}

/** Sentence on an answer that the gateway cut, or on a connection that it closed; empty without either. */
function describeCut (callEvents: readonly LoggedEvent[]): string {
  const event = callEvents.findLast(({ name }) => name === 'answerCut' || name === 'requestUnanswered')
  if (event === undefined) return ''
  const hasBegun = event.name === 'answerCut' || event.isBegun === true
  const position = !hasBegun ? 'before its answer began' : event.lastEventId === undefined ? 'after its answer had begun' : `after event ${formatValue(event.lastEventId)} of its answer`
  return `; the gateway closed its connection ${position} (${formatValue(event.cause)})`
}

function describeAnswer (finalEvent: LoggedEvent, callEvents: readonly LoggedEvent[]): string {
  const pathChanges = callEvents.filter(event => event.name === 'pathReplaced' || event.name === 'streamResumed')
  if (Number(finalEvent.waitedMs) > LATE_FIRST_EVENT_MS) return `answered late: it waited ${formatValue(finalEvent.waitedMs)} ms for capacity`
  if (Number(finalEvent.firstEventMs) > LATE_FIRST_EVENT_MS) return `answered late: its first event took ${formatValue(finalEvent.firstEventMs)} ms, without a wait for capacity`
  if (Number(finalEvent.longestPauseMs) <= LATE_PAUSE_MS || finalEvent.longestPauseMs === undefined) return 'answered completely and in time'
  const cause = pathChanges.length > 0 ? `after ${pathChanges.length} changes of its path (${pathChanges.map(event => formatValue(event.cause)).join('; ')})` : 'while its path stayed the same, so its engines were busy with other calls'
  return `answered late: it paused for ${formatValue(finalEvent.longestPauseMs)} ms ${cause}`
}

/** Cause for a call whose end no host logged: its host stopped, or log lines are missing. */
function describeMissingEnd (events: readonly LoggedEvent[], callEvents: readonly LoggedEvent[]): string {
  const { host, wallMs } = callEvents.at(-1)!
  const restart = events.find(event => event.name === 'processStarted' && event.host === host && event.wallMs > wallMs)
  return restart === undefined ? 'no end was logged; log lines of its host are missing' : `its host stopped: the process started again ${restart.wallMs - wallMs} ms after the call's last event`
}

/** The figures that a refusal for want of places rested on; empty for a line without them. */
function describeAdmission ({ waitingAhead, placesPerS, expectedWaitMs, knownAgeMs, retryAfterMs }: LoggedEvent): string {
  if (waitingAhead === undefined) return ''
  const wait = expectedWaitMs === null ? 'no place was expected' : `a wait of ${formatValue(expectedWaitMs)} ms was expected`
  const age = knownAgeMs === null ? 'from this host alone, which heard no other' : `known ${formatValue(knownAgeMs)} ms before`
  return `. At all hosts ${formatValue(waitingAhead)} calls went before it and ${formatValue(placesPerS)} places a second became free (${age}), so ${wait}; its caller was told to return after ${formatValue(retryAfterMs)} ms`
}

function describeEvidence (event: LoggedEvent, startMs: number): string {
  const details = ['reason', 'cause', 'status', 'result', 'attempts', 'target', 'removedIds', 'leavingIds', 'waitedMs', 'expectedWaitMs', 'firstEventMs', 'longestPauseMs', 'leftMs', 'targetsAgeMs', 'version', 'versionAgeMs', 'drainingForMs', 'error', 'prefix']
    .filter(field => event[field] !== undefined)
    .map(field => `${field} ${formatValue(event[field])}`)
  return `+${event.wallMs - startMs} ms ${event.host}: ${event.text}${details.length === 0 ? '' : ` (${details.join(', ')})`}`
}

function formatValue (value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value) ?? 'unknown'
}
