/**
 * Carrying a ticket into force: its record, its values, then one conditional update of the head.
 */
import type { Configuration } from '../../configuration/types.js'
import { checkTicket } from '../checkTicket/index.js'
import { digestTicket } from '../digestTicket/index.js'
import type { Ticket, TicketOutcome } from '../types.js'
import { updateHead } from './_lib/updateHead.js'
import { claimNumber, writeValues } from './_lib/recordTicket.js'
import { createPause, undecided, type Submission, type SubmitTicketOptions } from './_lib/submission.js'

export type { SubmitTicketOptions } from './_lib/submission.js'

/** How often a submission starts over because the head moved or an answer was lost. */
const MAX_TRIES = 16

/** Longest time that one submission goes on trying. */
const SUBMISSION_LIMIT_MS = 10_000

/**
 * @name submitTicket
 * @summary Carries a ticket into force or says why not.
 * @description Submitting the same ticket again is safe at any time, on any host, and gives the
 * same outcome. `accepted` and `refused` are reported only when no write of the ticket can still
 * change them; a refusal for `storeUnavailable` says only that this submission wrote nothing.
 * @param ticket - The ticket.
 * @param options - Store, runtime, log and operator; what this host knows, where it is at hand.
 * @returns The outcome; `uncertain` while a write of this ticket may still take effect.
 *
 * @example
 * const outcome = await submitTicket(ticket, { store, runtime, log, operator: 'ana' })
 */
export async function submitTicket (ticket: Ticket, options: SubmitTicketOptions): Promise<TicketOutcome> {
  const brought: Configuration[] = []
  const outcome = await carryOut(ticket, { ...options, onAccepted: configuration => { brought.push(configuration) } })
  const fields = { ticket: ticket.number, operator: options.operator }
  if (outcome.kind === 'accepted') options.log.emit('ticketAccepted', { ...fields, revision: outcome.revision })
  if (outcome.kind === 'refused') options.log.emit('ticketRefused', { ...fields, reason: outcome.reason, facts: outcome.facts })
  if (outcome.kind === 'uncertain') options.log.emit('ticketUncertain', { ...fields, cause: outcome.cause })
  for (const configuration of brought) options.onAccepted?.(configuration)
  return outcome
}

async function carryOut (ticket: Ticket, options: SubmitTicketOptions): Promise<TicketOutcome> {
  const { number } = ticket
  const { runtime } = options
  const faults = checkTicket(ticket)
  if (faults.length > 0) return { kind: 'refused', number, reason: 'ticketInvalid', facts: { faults } }
  const submission: Submission = { ticket, digest: digestTicket(ticket), options, pause: createPause(runtime) }
  const startedMs = runtime.monotonicMs()
  const claim = await claimNumber(submission)
  if (claim.kind !== 'claimed') return claim
  if (claim.record.acceptedRevision !== undefined) return { kind: 'accepted', number, revision: claim.record.acceptedRevision }
  const stopped = await writeValues(submission)
  if (stopped !== undefined) return stopped
  for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
    if (attempt > 0) await submission.pause(attempt)
    const outcome = await updateHead(submission, claim)
    if (outcome !== 'again') return outcome
    if (runtime.monotonicMs() - startedMs > SUBMISSION_LIMIT_MS) break
  }
  return undecided(number, 'the head kept moving or its answers were lost')
}
