/**
 * Computes the figures of one kind of fault from the callers' observations, the engines' ledgers
 * and the service's bookings.
 */
import { build } from 'hdr-histogram-js'
import { checkLedger, type DeliveredToken } from '../../standin/engine/checkLedger/index.js'
import { computeExpectedAnswer } from '../../standin/engine/model.js'
import type { LedgerRow } from '../../standin/engine/types.js'
import { ANSWER_TOKENS, type ObservedAnswer, type ObservedBooking } from './callers.js'
import { LAYER_BOUNDARIES } from './startFleet.js'

/** Name of a request's sequence on the engines. */
const sequenceOf = (request: string): string => `studio/${request}`

/** The input of the figures. */
export interface RecoveryObservations {
  faults: number
  answers: ObservedAnswer[]
  bookings: ObservedBooking[]
  rows: LedgerRow[]
  /** How many times the service booked each key. */
  booked: Record<string, number>
  /** Whether every answer counts as affected, or only those with a broken stream or a second attempt. */
  countsAllAnswers: boolean
}

/** Summarizes one kind of fault. */
export function summarizeRecovery (input: RecoveryObservations): Record<string, unknown> {
  const { faults, answers, bookings, rows, booked, countsAllAnswers } = input
  const executedSequences = new Set(rows.map(row => row.request))
  const receivedTokens = answers.flatMap(answer => answer.ids.map(readId))
  const violations = checkLedger(rows, receivedTokens, { layers: LAYER_BOUNDARIES.at(-1)! })
  const lost = answers.filter(answer => !answer.isComplete || !hasExpectedTokens(answer))
  const longestGapsMs = build({ numberOfSignificantValueDigits: 3 })
  const affected = countsAllAnswers ? answers : answers.filter(answer => answer.broken > 0 || answer.ids.some(id => readId(id).attempt > 1))
  for (const { timestampsMs } of affected) longestGapsMs.recordValue(Math.round(longestGapMs(timestampsMs)))
  const falseNotRunAnswers = answers.flatMap(answer => answer.notRun).filter(request => executedSequences.has(sequenceOf(request)))
  const falseNotRunBookings = bookings.filter(({ key, verdict }) => verdict === 'notRun' && (booked[key] ?? 0) > 0)
  return {
    faults,
    answers: answers.length,
    met: affected.length,
    recoveryMs: { p50: longestGapsMs.getValueAtPercentile(50), p99: longestGapsMs.getValueAtPercentile(99), max: longestGapsMs.maxValue },
    lostAnswers: lost.length,
    repeatedTokens: answers.reduce((sum, answer) => sum + countRepeated(answer), 0),
    layerViolations: violations.length,
    falseNotRun: falseNotRunAnswers.length + falseNotRunBookings.length,
    doubleBookings: bookings.filter(({ key }) => (booked[key] ?? 0) > 1).length,
    bookings: bookings.length,
    slowestId: affected.sort((a, b) => longestGapMs(b.timestampsMs) - longestGapMs(a.timestampsMs))[0]?.ids.at(-1),
    broken: answers.reduce((sum, answer) => sum + answer.broken, 0),
    ...(lost.length > 0 ? { lostSample: describeLost(lost[0]!) } : {}),
    ...(violations.length > 0 ? { violationSample: violations.slice(0, 3) } : {})
  }
}

function describeLost ({ prompt, tokens, refusals, ids, notRun }: ObservedAnswer): Record<string, unknown> {
  return { prompt, tokens: tokens.length, lastId: ids.at(-1), refusals, notRun: notRun.length }
}

function hasExpectedTokens ({ prompt, tokens }: ObservedAnswer): boolean {
  return tokens.join('') === computeExpectedAnswer(prompt, ANSWER_TOKENS, LAYER_BOUNDARIES).join('')
}

function readId (id: string): DeliveredToken {
  const [request, attempt, position] = id.split(':')
  return { sequence: sequenceOf(request!), attempt: Number(attempt), position: Number(position) }
}

/** Counts tokens whose position does not follow that of the previous token. */
function countRepeated ({ ids }: ObservedAnswer): number {
  let position = -1
  let repeated = 0
  for (const id of ids) {
    const next = readId(id).position
    if (next !== position + 1) repeated += 1
    position = next
  }
  return repeated
}

function longestGapMs (marksMs: number[]): number {
  return marksMs.slice(1).reduce((longest, atMs, index) => Math.max(longest, atMs - marksMs[index]!), 0)
}
