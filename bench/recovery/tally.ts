/**
 * The figures of one kind of fault, from what callers saw and what engines and service ran.
 */
import { build } from 'hdr-histogram-js'
import { checkLedger, type DeliveredToken } from '../../standin/engine/checkLedger/index.js'
import { computeExpectedAnswer } from '../../standin/engine/model.js'
import type { LedgerRow } from '../../standin/engine/types.js'
import { ANSWER_TOKENS, type SeenAnswer, type SeenBooking } from './callers.js'
import { BOUNDARIES } from './startFleet.js'

/** Name of the sequence of a request on the engines. */
const sequenceOf = (request: string): string => `studio/${request}`

/** What a tally is made from. */
export interface TallyInput {
  faults: number
  answers: SeenAnswer[]
  bookings: SeenBooking[]
  rows: LedgerRow[]
  /** Times that each key was booked at the service. */
  booked: Record<string, number>
  /** Whether every answer counts as met by a fault, or those alone that needed another attempt. */
  countsAll: boolean
}

/** Figures of one kind of fault. */
export function tally (input: TallyInput): Record<string, unknown> {
  const { faults, answers, bookings, rows, booked, countsAll } = input
  const ran = new Set(rows.map(row => row.request))
  const given = answers.flatMap(answer => answer.ids.map(readId))
  const violations = checkLedger(rows, given, { layers: BOUNDARIES.at(-1)! })
  const lost = answers.filter(answer => !answer.isComplete || !hasExpectedTokens(answer))
  const recovery = build({ numberOfSignificantValueDigits: 3 })
  const met = countsAll ? answers : answers.filter(answer => answer.broken > 0 || answer.ids.some(id => readId(id).attempt > 1))
  for (const { marksMs } of met) recovery.recordValue(Math.round(longestGapMs(marksMs)))
  const falseNotRunAnswers = answers.flatMap(answer => answer.notRun).filter(request => ran.has(sequenceOf(request)))
  const falseNotRunBookings = bookings.filter(({ key, verdict }) => verdict === 'notRun' && (booked[key] ?? 0) > 0)
  return {
    faults,
    answers: answers.length,
    met: met.length,
    recoveryMs: { p50: recovery.getValueAtPercentile(50), p99: recovery.getValueAtPercentile(99), max: recovery.maxValue },
    lostAnswers: lost.length,
    repeatedTokens: answers.reduce((sum, answer) => sum + countRepeated(answer), 0),
    layerViolations: violations.length,
    falseNotRun: falseNotRunAnswers.length + falseNotRunBookings.length,
    doubleBookings: bookings.filter(({ key }) => (booked[key] ?? 0) > 1).length,
    bookings: bookings.length,
    slowestId: met.sort((a, b) => longestGapMs(b.marksMs) - longestGapMs(a.marksMs))[0]?.ids.at(-1),
    broken: answers.reduce((sum, answer) => sum + answer.broken, 0),
    ...(lost.length > 0 ? { lostSample: describeLost(lost[0]!) } : {}),
    ...(violations.length > 0 ? { violationSample: violations.slice(0, 3) } : {})
  }
}

function describeLost ({ prompt, tokens, refusals, ids, notRun }: SeenAnswer): Record<string, unknown> {
  return { prompt, tokens: tokens.length, lastId: ids.at(-1), refusals, notRun: notRun.length }
}

function hasExpectedTokens ({ prompt, tokens }: SeenAnswer): boolean {
  return tokens.join('') === computeExpectedAnswer(prompt, ANSWER_TOKENS, BOUNDARIES).join('')
}

function readId (id: string): DeliveredToken {
  const [request, attempt, position] = id.split(':')
  return { sequence: sequenceOf(request!), attempt: Number(attempt), position: Number(position) }
}

/** Tokens whose position is not the one after the token before. */
function countRepeated ({ ids }: SeenAnswer): number {
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
