/**
 * Compares what callers received with what targets ran. Each finding is one violated guarantee.
 */
import { hasConsecutiveEvents, hasAllEvents, type CallRecord } from './startCallers.js'
import { buildEvents, LONG_STREAM_PREFIX, type LedgerEntry } from './createTargetHandler.js'
import { GRACE_MS } from './startHosts.js'

/** Statuses that guarantee that a request has not run. */
const NOT_EXECUTED_STATUSES = new Set([408, 421, 429, 503])

/** How long after its deadline an answer may end on a busy machine, in milliseconds; the platform allows as much. */
const DEADLINE_TOLERANCE_MS = 1_000

/** Retries that the settings of the hosts allow in one window: a ratio of the requests, and a number beyond it. */
const MAX_RETRY_RATIO = 0.2
const EXTRA_RETRIES_PER_WINDOW = 100

/** When a key was added to the configuration and when it was revoked, in monotonic milliseconds. */
export interface KeyValidity {
  addedMs: number
  revokedMs: number
}

/** Time within which a change of keys must take effect, in milliseconds; the platform's bound on revocations. */
const KEY_PROPAGATION_MS = 5_000

/** Time after a configuration change or a reload in which it counts as planned work, in milliseconds. */
const CHANGE_WINDOW_MS = 4_000

/** Time after the grace period in which a stop counts as planned work, in milliseconds. */
const STOP_WINDOW_TAIL_MS = 1_000

/** A request that was not passed on is lost if its connection ends later than this after its last byte, in milliseconds. */
const LOSS_SLACK_MS = 200

/** Requests sent up to this time after SIGTERM may be cut while a target is at work in the last part of the grace period, in milliseconds. */
const LATE_WORK_SENT_MS = 3_000
const LATE_WORK_FROM_MS = GRACE_MS * 5 / 6

/** Longest pause before the end of a stream that still made progress, in milliseconds. */
const MAX_PROGRESS_PAUSE_MS = 1_000

/** Crashes after which a part of a prompt must be known to crash engines, the time until all hosts know it in milliseconds, and the requests with it that may reach engines afterwards. */
const CRASHES_TO_KNOW = 5
const CRASH_PROPAGATION_MS = 3_000
const MAX_LATE_CRASHING_REQUESTS = 3

/** Requests that may reach a target within a pause, and the time after it was asked for from which they count, in milliseconds. */
const MAX_REQUESTS_IN_PAUSE = 2
const PAUSE_SLACK_MS = 500

/** Time after a target has said in an answer, or to the store, that it leaves, from which requests must not reach it, in milliseconds. */
const DRAIN_MS = 2_000

/** Time after the caller of a request has left from which the request must not reach targets, in milliseconds, and share of the streams that engines may still be at work on then. */
const GONE_MS = 500
const MAX_WORKING_SHARE = 0.25

/** Input of the checks. */
export interface Evidence {
  records: readonly CallRecord[]
  ledger: readonly LedgerEntry[]
  /** Parts of prompts that crash engines, with the monotonic times of the crashes in milliseconds. */
  crashesMs: ReadonlyMap<string, readonly number[]>
  keys: ReadonlyMap<string, KeyValidity>
  /** Monotonic times of the configuration changes, in milliseconds. */
  configurationsMs: readonly number[]
  /** Monotonic time at which the store last came back after an outage for all hosts, in milliseconds. */
  storeRecoveredMs: number
  /** Duration of the run in windows of the retry budget. */
  budgetWindows: number
}

/** Whether no fault affected the call's host from before the call until its end. */
export type IsUndisturbed = (record: CallRecord) => boolean

/** Checks all ended calls; returns one line for each finding. */
export function checkRecords (evidence: Evidence, isUndisturbed: IsUndisturbed): string[] {
  const tries = new Map<string, LedgerEntry[]>()
  for (const entry of evidence.ledger) tries.set(entry.requestId, [...tries.get(entry.requestId) ?? [], entry])
  const findings = evidence.records.flatMap(record => {
    const ownTries = tries.get(record.requestId) ?? []
    const isOwed = record.leftMs === undefined
    const problems = [...isOwed ? [...checkAnswer(record, isUndisturbed(record)), ...checkLoss(record, ownTries, evidence)] : [], ...checkRuns(record, ownTries.filter(entry => entry.hasRun)), ...checkKey(record, evidence)]
    return problems.map(problem => `${record.requestId} (${record.kind} at ${record.host.name}, sent at ${Math.round(record.sentMs)} ms, status ${record.status}): ${problem}`)
  })
  return [...findings, ...checkRetries(evidence), ...checkCrashes(evidence, isUndisturbed), ...checkStatements(evidence, isUndisturbed), ...checkGone(evidence, tries, isUndisturbed)]
}

function checkAnswer (record: CallRecord, isUndisturbed: boolean): string[] {
  const problems: string[] = []
  const tookMs = record.endedMs - record.sentMs
  if (isUndisturbed && record.status === 0) problems.push(`no answer${record.errorCode === undefined ? '' : `, ${record.errorCode}`}`)
  if (isUndisturbed && record.status > 0 && !record.isComplete && record.kind !== 'stream') problems.push('answer was cut off')
  if (isUndisturbed && tookMs > record.deadlineMs + DEADLINE_TOLERANCE_MS) problems.push(`took ${Math.round(tookMs)} ms`)
  if (record.status === 503 && record.retryAfter === undefined) problems.push('no Retry-After')
  if (record.answerId !== undefined && record.answerId !== record.requestId) problems.push(`answer of ${record.answerId}`)
  if (record.status !== 200) return problems
  if (record.answerId === undefined || !record.isSigned) problems.push('status 200 without request id or signature')
  if (record.kind !== 'stream' && record.isComplete && record.body !== `answer to ${record.requestId}`) problems.push(`unexpected body ${JSON.stringify(record.body.slice(0, 60))}`)
  if (record.kind === 'stream' && record.isComplete && !hasAllEvents(record)) problems.push(`stream ended normally, but not with all events once and in order: ${describeEvents(record)}`)
  if (record.kind === 'stream' && !record.isComplete && !hasConsecutiveEvents(record)) problems.push(`stream with a gap, a duplicate or other bytes: ${describeEvents(record)}`)
  return problems
}

/** Tells how far a stream is in order, and what follows there. */
function describeEvents ({ requestId, body }: CallRecord): string {
  const wanted = buildEvents(requestId).split('\n\n')
  const received = body.split('\n\n')
  const count = received.findIndex((event, index) => event !== wanted[index] || index === wanted.length - 1)
  return `${count} of ${wanted.length - 1} events, then ${JSON.stringify(received.slice(count).join(' ').slice(0, 60))}`
}

/** Checks that a request that was read completely is answered completely around planned work. */
function checkLoss (record: CallRecord, tries: readonly LedgerEntry[], { configurationsMs }: Evidence): string[] {
  const { plannedWork: { stoppedMs = Infinity, reloadsMs }, sentMs, lastByteMs, endedMs, deadlineMs } = record
  if ((record.status > 0 && record.isComplete) || lastByteMs === undefined || !record.isSound) return []
  const isStopping = endedMs >= stoppedMs && endedMs <= stoppedMs + GRACE_MS + STOP_WINDOW_TAIL_MS
  const isReloading = reloadsMs.some(atMs => endedMs >= atMs && sentMs <= atMs + CHANGE_WINDOW_MS)
  const isReconfiguring = configurationsMs.some(atMs => endedMs >= atMs && endedMs <= atMs + CHANGE_WINDOW_MS)
  if (!isStopping && !isReloading && !isReconfiguring) return []
  const lastTry = tries.at(-1)
  if (lastTry === undefined && endedMs <= lastByteMs + LOSS_SLACK_MS) return []
  if (endedMs >= sentMs + deadlineMs || lastTry?.outcome === 'brokenOff' || lastTry?.isMixed === true) return []
  // The engine of the resume has nothing left to send, and an empty answer is no proof of the end.
  const isEndUnknown = tries.slice(0, -1).some(({ isMixed, outcome }) => isMixed || outcome !== 'answered')
  if (record.kind === 'stream' && hasAllEvents(record) && isEndUnknown) return []
  const isLateWork = lastTry !== undefined && lastTry.hasRun && lastTry.endedMs >= stoppedMs + LATE_WORK_FROM_MS
  if (isLateWork && sentMs <= stoppedMs + LATE_WORK_SENT_MS) return []
  const work = [...isStopping ? [`${Math.round(endedMs - stoppedMs)} ms after SIGTERM`] : [], ...isReloading ? ['after SIGHUP'] : [], ...isReconfiguring ? ['after a configuration change'] : []]
  const path = tries.map(({ targetId, outcome, atMs }) => `${targetId} ${outcome} +${Math.round(atMs - sentMs)}`).join(', ')
  return [`lost ${work.join(' and ')}, ${Math.round(endedMs - lastByteMs)} ms after its last byte, tries: ${path}`]
}

function checkRuns ({ kind, status }: CallRecord, runs: readonly LedgerEntry[]): string[] {
  const problems: string[] = []
  if (kind === 'unsafe' && runs.length > 1) problems.push(`ran ${runs.length} times, at ${runs.map(run => run.targetId).join(', ')}`)
  if (NOT_EXECUTED_STATUSES.has(status) && runs.length > 0) problems.push(`reported as not run, but ran at ${runs.map(run => run.targetId).join(', ')}`)
  if (status === 200 && runs.length === 0) problems.push('status 200 without a run')
  return problems
}

function checkKey ({ key, status, sentMs, endedMs }: CallRecord, { keys, storeRecoveredMs }: Evidence): string[] {
  const validity = keys.get(key)
  if (validity === undefined || status === 0) return []
  // A change of keys must be in force once it could be read from the store for KEY_PROPAGATION_MS.
  const isRevoked = sentMs > Math.max(validity.revokedMs, storeRecoveredMs) + KEY_PROPAGATION_MS
  const isValid = sentMs > Math.max(validity.addedMs, storeRecoveredMs) + KEY_PROPAGATION_MS && endedMs < validity.revokedMs
  if (isRevoked && status !== 401 && status !== 503) return ['accepted with a revoked key']
  if (isValid && status === 401) return ['refused with a valid key']
  return []
}

/** Checks the number of retries: all runs of a request beyond its first one. */
function checkRetries ({ ledger, budgetWindows }: Evidence): string[] {
  return ['model', 'orders'].flatMap(service => {
    const runs = ledger.filter(entry => entry.service === service && entry.hasRun)
    const requests = new Set(runs.map(entry => entry.requestId)).size
    const retries = runs.length - requests
    return retries > MAX_RETRY_RATIO * requests + EXTRA_RETRIES_PER_WINDOW * budgetWindows ? [`${retries} retries of ${requests} requests at ${service}`] : []
  })
}

/** Checks that few requests with a part that crashes engines reach them once it has crashed several. */
function checkCrashes ({ records, ledger, crashesMs }: Evidence, isUndisturbed: IsUndisturbed): string[] {
  const recordsById = new Map(records.map(record => [record.requestId, record]))
  return [...crashesMs].flatMap(([part, timesMs]) => {
    const knownMs = (timesMs[CRASHES_TO_KNOW - 1] ?? Infinity) + CRASH_PROPAGATION_MS
    const late = ledger.filter(({ requestId, promptParts, atMs }) => {
      const record = recordsById.get(requestId)
      return atMs > knownMs && promptParts.includes(part) && record !== undefined && record.isSound && isUndisturbed(record) && record.host.wasCurrentBuild(record.startCount)
    })
    return late.length > MAX_LATE_CRASHING_REQUESTS ? [`${late.length} requests with part ${part} reached engines later than ${CRASH_PROPAGATION_MS} ms after its fifth crash; ${timesMs.length} crashes`] : []
  })
}

/** Checks that hosts keep to what targets told them: that they want no requests for a time, and that they leave. */
function checkStatements ({ records, ledger }: Evidence, isUndisturbed: IsUndisturbed): string[] {
  // Earlier versions do not read what targets say of themselves.
  const checked = records.filter(record => isUndisturbed(record) && record.host.wasCurrentBuild(record.startCount))
  const recordsById = new Map(checked.map(record => [record.requestId, record]))
  const byPair = new Map<string, LedgerEntry[]>()
  for (const entry of ledger) {
    const record = recordsById.get(entry.requestId)
    if (record === undefined) continue
    const pair = `${record.host.name} to ${entry.targetId}`
    byPair.set(pair, [...byPair.get(pair) ?? [], entry])
  }
  return [...byPair].flatMap(([pair, entries]) => {
    const inPause = entries.filter(({ pauseMs }) => pauseMs > 0).map(asked => entries.filter(({ atMs }) => atMs > asked.atMs + PAUSE_SLACK_MS && atMs < asked.atMs + asked.pauseMs).length)
    const toldMs = Math.min(...entries.filter(({ saidLeaving, outcome }) => saidLeaving && (outcome === 'answered' || outcome === 'shed')).map(({ endedMs }) => endedMs))
    const afterLeaving = entries.filter(({ requestId }) => recordsById.get(requestId)!.sentMs > toldMs + DRAIN_MS).length
    const afterNotice = entries.filter(({ requestId, leavingForMs }) => leavingForMs > DRAIN_MS && recordsById.get(requestId)!.isSound).length
    return [
      ...Math.max(0, ...inPause) > MAX_REQUESTS_IN_PAUSE ? [`${Math.max(...inPause)} requests of ${pair} within a pause that it had asked for`] : [],
      ...afterLeaving > 0 ? [`${afterLeaving} requests of ${pair} after it had said that it leaves`] : [],
      ...afterNotice > 0 ? [`${afterNotice} requests of ${pair} later than ${DRAIN_MS} ms after the store knew that it leaves`] : []
    ]
  })
}

/** Checks that requests whose callers have left are not sent on, and that engines stop working on them. */
function checkGone ({ records }: Evidence, tries: ReadonlyMap<string, readonly LedgerEntry[]>, isUndisturbed: IsUndisturbed): string[] {
  const left = records.filter(({ leftMs, host, startCount }) => leftMs !== undefined && host.wasCurrentBuild(startCount))
  const sentOn = left.filter(({ requestId, leftMs }) => tries.get(requestId)?.some(({ atMs }) => atMs > leftMs! + GONE_MS))
  const running = left.filter(record => isUndisturbed(record) && record.kind === 'stream').flatMap(({ requestId, leftMs }) => {
    const lastTry = tries.get(requestId)?.findLast(({ hasRun, atMs }) => hasRun && atMs <= leftMs!)
    return lastTry !== undefined && lastTry.endedMs > leftMs! && requestId.startsWith(LONG_STREAM_PREFIX) ? [lastTry.endedMs - leftMs!] : []
  })
  const working = running.filter(afterMs => afterMs > GONE_MS)
  return [
    ...sentOn.length > 0 ? [`${sentOn.length} of ${left.length} requests reached targets later than ${GONE_MS} ms after their callers had left: ${sentOn.slice(0, 5).map(({ requestId }) => requestId).join(', ')}`] : [],
    ...working.length > MAX_WORKING_SHARE * running.length ? [`engines were still at work on ${working.length} of ${running.length} streams ${GONE_MS} ms after their callers had left`] : []
  ]
}

/** Checks that every host serves every kind of call once the faults are over; returns one line for each finding. */
export function checkRecovery (records: readonly CallRecord[], settledMs: number): string[] {
  const callsAfterFaults = records.filter(record => record.sentMs > settledMs && record.status !== 401 && record.leftMs === undefined)
  const failed = callsAfterFaults.filter(record => record.kind === 'stream' ? record.status !== 200 || !isStreamServed(record) : ![200, 500, 502].includes(record.status))
  return failed.map(record => `${record.requestId} (${record.kind} at ${record.host.name}): status ${record.status} after the faults were over`)
}

/** Whether a stream is whole, or was still making progress when its deadline passed: on a busy machine long ones take twice their time. */
function isStreamServed (record: CallRecord): boolean {
  if (hasAllEvents(record)) return true
  const hasReachedDeadline = record.endedMs - record.sentMs >= record.deadlineMs
  const hadProgress = record.lastDataMs !== undefined && record.endedMs - record.lastDataMs < MAX_PROGRESS_PAUSE_MS
  return hasReachedDeadline && hadProgress && hasConsecutiveEvents(record)
}
