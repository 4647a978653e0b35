/**
 * A keyed call that takes effect at most once: its intent is recorded before the one send, its
 * outcome after it, and whoever meets the record again sends nothing unless the record says that
 * the call certainly did not run.
 */
import { createHash, randomUUID } from 'node:crypto'
import type { WriteCondition } from '../../objectApi/types.js'
import type { ServiceCall, ServiceResult } from '../../service/types.js'
import { classifyServiceResult } from '../../verdict/classifyServiceResult/index.js'
import { createRefusal, NEVER_SENT } from '../../verdict/createRefusal/index.js'
import { awaitOutcome } from '../_lib/awaitOutcome.js'
import { recordOutcome, recordOutcomeLater } from '../_lib/recordOutcome.js'
import { writeUntilKnown } from '../_lib/writeUntilKnown.js'
import {
  BOOKING_PREFIX, SEND_WITHIN_MS, STORE_RETRY_MS,
  type Booking, type BookingRecord, type BookingResult, type BookOnceOptions, type SendWindow
} from '../types.js'

/** How often one arrival competes for a key that is free again. */
const MAX_CLAIMS = 3

/** Longest recorded body; an answer over it is given once and not repeated. */
const MAX_RECORDED_BODY_BYTES = 524_288

/**
 * @name bookOnce
 * @summary Sends a keyed call at most once over all entry hosts.
 * @param booking - The call and its key.
 * @param options - Store, log, runtime, the one send and the service's status read.
 * @returns The answer, given again on every repetition, or a refusal with its verdict.
 *
 * @example
 * const result = await bookOnce(booking, { store, log, runtime, send, timeoutMs: 5_000 })
 */
export async function bookOnce (booking: Booking, options: BookOnceOptions): Promise<BookingResult> {
  const { runtime, log } = options
  const key = bookingKey(booking)
  let condition: WriteCondition = { ifAbsent: true }
  for (let claim = 0; claim < MAX_CLAIMS; claim++) {
    const intent = createIntent(booking, options)
    const untilMs = runtime.monotonicMs() + SEND_WITHIN_MS
    const permit: SendWindow = { isOpen: () => runtime.monotonicMs() < untilMs }
    const claimed = await writeUntilKnown(key, intent, condition, { ...options, untilMs })
    if (claimed.kind === 'applied') return await sendHeld(key, { intent, version: claimed.version, permit }, booking, options)
    if (claimed.kind !== 'other') {
      if (claimed.kind === 'uncertain') options.keep?.(recordOutcomeLater(key, { ...intent, state: 'notRun' }, { ...options, version: 0 }))
      const isNew = booking.isFirstAttempt === true || 'ifVersion' in condition
      return refuseUnrecorded(claimed.cause, isNew)
    }
    if (claimed.stored.record.digest !== intent.digest) {
      return { kind: 'refused', refusal: createRefusal('bookingMismatch', { verdict: NEVER_SENT }) }
    }
    const { record, version } = await awaitOutcome(key, claimed.stored, options)
    if (record.state !== 'notRun' || record.closed) {
      log.emit('bookingReplayed', { request: booking.request, state: record.state })
      return toResult(record, true)
    }
    condition = { ifVersion: version }
  }
  return { kind: 'refused', refusal: createRefusal('bookingInDoubt', { verdict: { kind: 'mayHaveRun' }, retryAfterMs: STORE_RETRY_MS }) }
}

/** An intent that is known to be in the store, with the right to send. */
interface HeldIntent {
  intent: BookingRecord
  version: number
  permit: SendWindow
}

async function sendHeld (key: string, held: HeldIntent, booking: Booking, options: BookOnceOptions): Promise<BookingResult> {
  const { intent, version, permit } = held
  const { log, store, runtime, keep, signal } = options
  const { request, service } = booking
  log.emit('bookingIntended', { request, service })
  const isCallerGone = signal?.aborted ?? false
  const result: ServiceResult = permit.isOpen() && !isCallerGone
    ? await options.send(permit)
    : { kind: 'unreachable', cause: isCallerGone ? 'the caller went away before the send' : 'the time to send had passed' }
  log.emit('bookingSent', { request, service, result: result.kind })
  const outcome = toOutcome(intent, result, options)
  const place = { store, runtime, version }
  const isRecorded = await recordOutcome(key, outcome, place)
  log.emit('bookingSettled', { request, state: outcome.state, recorded: isRecorded })
  if (!isRecorded) keep?.(recordOutcomeLater(key, outcome, place))
  if (result.kind === 'answered' && outcome.state === 'answered') return { ...result, replayed: false }
  return toResult(outcome, false, result.kind === 'answered' ? undefined : result.cause)
}

function createIntent (booking: Booking, { timeoutMs }: BookOnceOptions): BookingRecord {
  const { service, call } = booking
  return { service, digest: digestCall(call), nonce: randomUUID(), state: 'intended', sendWithinMs: SEND_WITHIN_MS, timeoutMs }
}

function toOutcome (intent: BookingRecord, result: ServiceResult, { notRunStatuses = [] }: BookOnceOptions): BookingRecord {
  const verdict = classifyServiceResult(result, { notRunStatuses })
  if (verdict.kind === 'notRun') return { ...intent, state: 'notRun' }
  if (result.kind !== 'answered') return { ...intent, state: 'mayHaveRun' }
  const { status, contentType, body } = result
  if (body.length > MAX_RECORDED_BODY_BYTES) return { ...intent, state: 'answered' }
  return { ...intent, state: 'answered', answer: { status, contentType, body: body.toString('base64') } }
}

function toResult (record: BookingRecord, replayed: boolean, cause?: string): BookingResult {
  if (record.answer !== undefined) {
    const { status, contentType, body } = record.answer
    return { kind: 'answered', status, contentType, body: Buffer.from(body, 'base64'), replayed }
  }
  const facts = { state: record.state, ...(cause === undefined ? {} : { cause }) }
  if (record.state === 'answered') return { kind: 'refused', refusal: createRefusal('bookingAnswerNotKept', { verdict: { kind: 'ran' }, facts }) }
  if (record.closed) return { kind: 'refused', refusal: createRefusal('bookingClosed', { verdict: NEVER_SENT, facts }) }
  if (record.state === 'notRun') {
    return { kind: 'refused', refusal: createRefusal('targetUnreachable', { verdict: NEVER_SENT, facts, retryAfterMs: STORE_RETRY_MS }) }
  }
  return { kind: 'refused', refusal: createRefusal('bookingInDoubt', { verdict: { kind: 'mayHaveRun' }, facts, retryAfterMs: STORE_RETRY_MS }) }
}

/** This arrival sent nothing; whether an earlier one with the key did is known only where `isNew`. */
function refuseUnrecorded (cause: string, isNew: boolean): BookingResult {
  const verdict = isNew ? NEVER_SENT : { kind: 'mayHaveRun' as const }
  const facts = { cause, sentByThisCall: false, earlierCalls: isNew ? 'none' : 'unknown' }
  return { kind: 'refused', refusal: createRefusal('bookingStoreUnavailable', { verdict, facts, retryAfterMs: STORE_RETRY_MS }) }
}

function bookingKey ({ account, service, key }: Booking): string {
  return BOOKING_PREFIX + createHash('sha256').update(JSON.stringify([account, service, key])).digest('hex')
}

function digestCall (call: ServiceCall): string {
  return createHash('sha256').update(`${call.method}\n${call.path}\n`).update(call.body).digest('hex')
}
