/**
 * Submits a ticket in three steps: it creates the record, writes the values, and updates the head
 * by a conditional write.
 */
import type { Configuration } from '../../configuration/types.js'
import { checkTicket } from '../checkTicket/index.js'
import { digestTicket } from '../digestTicket/index.js'
import type { Ticket, TicketOutcome } from '../types.js'
import { claimNumber, writeValues } from './_lib/recordTicket.js'
import { createRetryPause, uncertainOutcome, type Submission, type SubmitTicketOptions } from './_lib/submission.js'
import { updateHead } from './_lib/updateHead.js'

export type { SubmitTicketOptions } from './_lib/submission.js'

/** Limit of attempts to update the head, each made because the head had changed or an answer was lost. */
const MAX_ATTEMPTS = 16

/** No further attempt is made after this time. */
const MAX_SUBMISSION_MS = 10_000

/**
 * @name submitTicket
 * @summary Submits a change ticket and reports whether it was accepted, or why not.
 * @description Submitting the same ticket again is safe at any time, on any host, and gives the
 * same outcome. `accepted` and `refused` are reported only when no write of the ticket can still
 * change them; a refusal for `storeUnavailable` says only that this submission wrote nothing.
 * @param ticket - The ticket.
 * @param options - Store, runtime, log and operator; optionally the state that this host knows of.
 * @returns The outcome; `uncertain` while a write of this ticket may still take effect.
 *
 * @example
 * const outcome = await submitTicket(ticket, { store, runtime, log, operator: 'ana' })
 */
export async function submitTicket (ticket: Ticket, options: SubmitTicketOptions): Promise<TicketOutcome> {
  const newConfigurations: Configuration[] = []
  const outcome = await runSubmission(ticket, { ...options, onAccepted: configuration => { newConfigurations.push(configuration) } })
  const fields = { ticket: ticket.number, operator: options.operator }
  if (outcome.kind === 'accepted') options.log.emit('ticketAccepted', { ...fields, revision: outcome.revision })
  if (outcome.kind === 'refused') options.log.emit('ticketRefused', { ...fields, reason: outcome.reason, facts: outcome.facts })
  if (outcome.kind === 'uncertain') options.log.emit('ticketUncertain', { ...fields, cause: outcome.cause })
  for (const configuration of newConfigurations) options.onAccepted?.(configuration)
  return outcome
}

async function runSubmission (ticket: Ticket, options: SubmitTicketOptions): Promise<TicketOutcome> {
  const { number } = ticket
  const { runtime } = options
  const faults = checkTicket(ticket)
  if (faults.length > 0) return { kind: 'refused', number, reason: 'ticketInvalid', facts: { faults } }
  const submission: Submission = { ticket, digest: digestTicket(ticket), options, pause: createRetryPause(runtime) }
  const startedMs = runtime.monotonicMs()
  const claim = await claimNumber(submission)
  if (claim.kind !== 'claimed') return claim
  if (claim.record.acceptedRevision !== undefined) return { kind: 'accepted', number, revision: claim.record.acceptedRevision }
  const failure = await writeValues(submission)
  if (failure !== undefined) return failure
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    if (attempt > 0) await submission.pause(attempt)
    const outcome = await updateHead(submission, claim)
    if (outcome !== 'retry') return outcome
    if (runtime.monotonicMs() - startedMs > MAX_SUBMISSION_MS) break
  }
  return uncertainOutcome(number, 'the head kept changing, or answers of the store were lost')
}
