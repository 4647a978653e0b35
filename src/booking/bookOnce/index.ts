/**
 * Sends a call with an idempotency key at most once. The intent to send is recorded in the store
 * before the send, and the outcome after it. A later call with the same key sends nothing unless the
 * record says that the call certainly did not run.
 */
import { createHash, randomUUID } from 'node:crypto'
import type { WriteCondition } from '../../objectApi/types.js'
import type { ServiceCall, ServiceResult } from '../../service/types.js'
import { classifyServiceResult } from '../../verdict/classifyServiceResult/index.js'
import { createRefusal, NEVER_SENT } from '../../verdict/createRefusal/index.js'
import { awaitOutcome } from '../_lib/awaitOutcome.js'
import { recordOutcome, recordOutcomeLater } from '../_lib/recordOutcome.js'
import { writeUntilConfirmed } from '../_lib/writeUntilConfirmed.js'
import {
  BOOKING_PREFIX, SEND_WITHIN_MS, BOOKING_RETRY_MS,
  type Booking, type BookingRecord, type BookingResult, type BookOnceOptions, type SendWindow
} from '../types.js'

/** How often one call tries to claim a key that may be sent again. */
const MAX_CLAIMS = 3

/** Longest response body that is recorded. A longer one is returned once and cannot be replayed. */
const MAX_RECORDED_BODY_BYTES = 524_288

/**
 * @name bookOnce
 * @summary Sends a call with an idempotency key at most once across all entry hosts.
 * @param booking - The call and its key.
 * @param options - Store, log, runtime, the function that sends the call, and the service's status read.
 * @returns The service's response, replayed for every repetition, or a refusal with its verdict.
 *
 * @example
 * const result = await bookOnce(booking, { store, log, runtime, send, timeoutMs: 5_000 })
 */
export async function bookOnce (booking: Booking, options: BookOnceOptions): Promise<BookingResult> {
  const { runtime, log } = options
  const recordKey = toRecordKey(booking)
  let condition: WriteCondition = { ifAbsent: true }
  for (let claim = 0; claim < MAX_CLAIMS; claim++) {
    const intent = createIntent(booking, options)
    const untilMs = runtime.monotonicMs() + SEND_WITHIN_MS
    const sendWindow: SendWindow = { isOpen: () => runtime.monotonicMs() < untilMs }
    const claimed = await writeUntilConfirmed(recordKey, intent, condition, { ...options, untilMs })
    if (claimed.kind === 'applied') return await sendClaimed(recordKey, { intent, version: claimed.version, sendWindow }, booking, options)
    if (claimed.kind !== 'conflict') {
      if (claimed.kind === 'uncertain') options.keep?.(recordOutcomeLater(recordKey, { ...intent, state: 'notRun' }, { ...options, version: 0 }))
      const hasNoEarlierRun = booking.isFirstAttempt === true || 'ifVersion' in condition
      return refuseUnrecorded(claimed.cause, hasNoEarlierRun)
    }
    if (claimed.stored.record.digest !== intent.digest) {
      return { kind: 'refused', refusal: createRefusal('bookingMismatch', { verdict: NEVER_SENT }) }
    }
    const { record, version } = await awaitOutcome(recordKey, claimed.stored, options)
    if (record.state !== 'notRun' || record.closed) {
      log.emit('bookingReplayed', { request: booking.request, state: record.state })
      return toResult(record, true)
    }
    condition = { ifVersion: version }
  }
  return { kind: 'refused', refusal: createRefusal('bookingInDoubt', { verdict: { kind: 'mayHaveRun' }, retryAfterMs: BOOKING_RETRY_MS }) }
}

/** An intent that is known to be in the store, so that its attempt holds the key. */
interface ClaimedIntent {
  intent: BookingRecord
  /** Version of the intent in the store. */
  version: number
  sendWindow: SendWindow
}

/** Sends the call for a claimed key and records its outcome. */
async function sendClaimed (recordKey: string, claimed: ClaimedIntent, booking: Booking, options: BookOnceOptions): Promise<BookingResult> {
  const { intent, version, sendWindow } = claimed
  const { log, store, runtime, keep, signal } = options
  const { request, service } = booking
  log.emit('bookingIntended', { request, service })
  const isCallerGone = signal?.aborted ?? false
  const result: ServiceResult = sendWindow.isOpen() && !isCallerGone
    ? await options.send(sendWindow)
    : { kind: 'unreachable', cause: isCallerGone ? 'the caller went away before the send' : 'the time to send had passed' }
  log.emit('bookingSent', { request, service, result: result.kind })
  const outcome = toOutcome(intent, result, options)
  const outcomeOptions = { store, runtime, version }
  const isRecorded = await recordOutcome(recordKey, outcome, outcomeOptions)
  log.emit('bookingSettled', { request, state: outcome.state, recorded: isRecorded })
  if (!isRecorded) keep?.(recordOutcomeLater(recordKey, outcome, outcomeOptions))
  if (result.kind === 'answered' && outcome.state === 'answered') return { ...result, replayed: false }
  return toResult(outcome, false, result.kind === 'answered' ? undefined : result.cause)
}

/** The record that is written before the send. */
function createIntent (booking: Booking, { timeoutMs }: BookOnceOptions): BookingRecord {
  const { service, call } = booking
  return { service, digest: digestCall(call), nonce: randomUUID(), state: 'intended', sendWithinMs: SEND_WITHIN_MS, timeoutMs }
}

/** The record with the outcome of the send. */
function toOutcome (intent: BookingRecord, result: ServiceResult, { notRunStatuses = [] }: BookOnceOptions): BookingRecord {
  const verdict = classifyServiceResult(result, { notRunStatuses })
  if (verdict.kind === 'notRun') return { ...intent, state: 'notRun' }
  if (result.kind !== 'answered') return { ...intent, state: 'mayHaveRun' }
  const { status, contentType, body } = result
  if (body.length > MAX_RECORDED_BODY_BYTES) return { ...intent, state: 'answered' }
  return { ...intent, state: 'answered', answer: { status, contentType, body: body.toString('base64') } }
}

/** The result that a record gives to a caller. */
function toResult (record: BookingRecord, replayed: boolean, cause?: string): BookingResult {
  if (record.answer !== undefined) {
    const { status, contentType, body } = record.answer
    return { kind: 'answered', status, contentType, body: Buffer.from(body, 'base64'), replayed }
  }
  const facts = { state: record.state, ...(cause === undefined ? {} : { cause }) }
  if (record.state === 'answered') return { kind: 'refused', refusal: createRefusal('bookingAnswerNotKept', { verdict: { kind: 'ran' }, facts }) }
  if (record.closed) return { kind: 'refused', refusal: createRefusal('bookingClosed', { verdict: NEVER_SENT, facts }) }
  if (record.state === 'notRun') {
    return { kind: 'refused', refusal: createRefusal('targetUnreachable', { verdict: NEVER_SENT, facts, retryAfterMs: BOOKING_RETRY_MS }) }
  }
  return { kind: 'refused', refusal: createRefusal('bookingInDoubt', { verdict: { kind: 'mayHaveRun' }, facts, retryAfterMs: BOOKING_RETRY_MS }) }
}

/** Refuses a call that sent nothing. Unless `hasNoEarlierRun`, an earlier call with the same key may have run. */
function refuseUnrecorded (cause: string, hasNoEarlierRun: boolean): BookingResult {
  const verdict = hasNoEarlierRun ? NEVER_SENT : { kind: 'mayHaveRun' as const }
  const facts = { cause, sentByThisCall: false, earlierCalls: hasNoEarlierRun ? 'none' : 'unknown' }
  return { kind: 'refused', refusal: createRefusal('bookingStoreUnavailable', { verdict, facts, retryAfterMs: BOOKING_RETRY_MS }) }
}

/** Key of a booking's record in the store. */
function toRecordKey ({ account, service, key }: Booking): string {
  return BOOKING_PREFIX + createHash('sha256').update(JSON.stringify([account, service, key])).digest('hex')
}

function digestCall (call: ServiceCall): string {
  return createHash('sha256').update(`${call.method}\n${call.path}\n`).update(call.body).digest('hex')
}
