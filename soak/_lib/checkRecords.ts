/**
 * Checks of what callers saw against what targets ran. Each finding is one broken promise.
 */
import { isCleanBeginning, isWholeStream, type CallRecord } from './startCallers.js'
import type { LedgerEntry } from './createTargetHandler.js'

/** Statuses that promise that a request has not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503])

/** Time by which an answer may pass its deadline on a busy machine, in milliseconds; the platform allows as much. */
const LATE_SLACK_MS = 1_000

/** Share of repeats, and repeats beyond it, that the settings of the hosts allow in one window. */
const REPEAT_SHARE = 0.2
const EXTRA_REPEATS = 100

/** When a key was put into force and when it was revoked, in monotonic milliseconds. */
export interface KeyLife {
  fromMs: number
  toMs: number
}

/** Time by which a change of keys must be in force, in milliseconds; the platform's bound on revocations. */
const KEYS_MS = 5_000

/** Everything that the checks compare. */
export interface Evidence {
  records: readonly CallRecord[]
  ledger: readonly LedgerEntry[]
  keys: ReadonlyMap<string, KeyLife>
  /** Last moment at which the store was away for all hosts. */
  storeBackMs: number
  /** Windows of the retry budget that the run lasted. */
  windows: number
}

/** Whether nothing was done to the host from before the call until its end. */
export type IsUndisturbed = (record: CallRecord) => boolean

/** Every finding about ended calls. */
export function checkRecords (evidence: Evidence, isUndisturbed: IsUndisturbed): string[] {
  const runs = new Map<string, LedgerEntry[]>()
  for (const entry of evidence.ledger) if (entry.hasRun) runs.set(entry.requestId, [...runs.get(entry.requestId) ?? [], entry])
  const findings = evidence.records.flatMap(record => {
    const problems = [...checkAnswer(record, isUndisturbed(record)), ...checkRuns(record, runs.get(record.requestId) ?? []), ...checkKey(record, evidence)]
    return problems.map(problem => `${record.requestId} (${record.kind} at ${record.host.name}, sent at ${Math.round(record.sentMs)} ms, status ${record.status}): ${problem}`)
  })
  return [...findings, ...checkRepeats(evidence)]
}

function checkAnswer (record: CallRecord, isUndisturbed: boolean): string[] {
  const problems: string[] = []
  const tookMs = record.endedMs - record.sentMs
  if (isUndisturbed && record.status === 0) problems.push('no answer')
  if (isUndisturbed && record.status > 0 && !record.isComplete && record.kind !== 'stream') problems.push('answer broke off')
  if (isUndisturbed && tookMs > record.deadlineMs + LATE_SLACK_MS) problems.push(`took ${Math.round(tookMs)} ms`)
  if (record.status === 503 && record.retryAfter === undefined) problems.push('no time to come back')
  if (record.status !== 200) return problems
  if (record.kind !== 'stream' && record.isComplete && record.body !== `answer to ${record.requestId}`) problems.push(`body ${JSON.stringify(record.body.slice(0, 60))}`)
  if (record.kind === 'stream' && record.isComplete && !isWholeStream(record)) problems.push('stream looks complete but is not whole')
  if (record.kind === 'stream' && !record.isComplete && !isCleanBeginning(record)) problems.push('stream with a gap or a repeat')
  return problems
}

function checkRuns ({ kind, status }: CallRecord, runs: readonly LedgerEntry[]): string[] {
  const problems: string[] = []
  if (kind === 'unsafe' && runs.length > 1) problems.push(`ran ${runs.length} times, at ${runs.map(run => run.targetId).join(', ')}`)
  if (NOT_RUN_STATUSES.has(status) && runs.length > 0) problems.push(`called unrun, but ran at ${runs.map(run => run.targetId).join(', ')}`)
  if (status === 200 && runs.length === 0) problems.push('answered without a run')
  return problems
}

function checkKey ({ key, status, sentMs, endedMs }: CallRecord, { keys, storeBackMs }: Evidence): string[] {
  const life = keys.get(key)
  if (life === undefined || status === 0) return []
  // A change is due once it could be read for the whole time.
  const isRevoked = sentMs > Math.max(life.toMs, storeBackMs) + KEYS_MS
  const isInForce = sentMs > Math.max(life.fromMs, storeBackMs) + KEYS_MS && endedMs < life.toMs
  if (isRevoked && status !== 401 && status !== 503) return ['served with a revoked key']
  if (isInForce && status === 401) return ['refused with a key in force']
  return []
}

/** Repeats are the arrivals beyond the first of each request. */
function checkRepeats ({ ledger, windows }: Evidence): string[] {
  return ['model', 'orders'].flatMap(service => {
    const arrivals = ledger.filter(entry => entry.service === service && entry.hasRun)
    const requests = new Set(arrivals.map(entry => entry.requestId)).size
    const repeats = arrivals.length - requests
    return repeats > REPEAT_SHARE * requests + EXTRA_REPEATS * windows ? [`${repeats} repeats of ${requests} requests at ${service}`] : []
  })
}
