/**
 * The first writes of a submission: the record, which reserves the number for one ticket, and the
 * values of the scopes, which nobody reads before the head refers to them.
 */
import { randomUUID } from 'node:crypto'
import { ensureObject } from '../../../objectApi/ensureObject/index.js'
import { scopeKey, ticketKey } from '../../constants.js'
import { digestJson } from '../../digestTicket/index.js'
import { ticketRecordSchema, type Ticket, type TicketOutcome, type TicketRecord } from '../../types.js'
import { uncertainOutcome, type Submission } from './submission.js'

/** The number belongs to the submitted ticket. */
export interface ClaimedNumber {
  kind: 'claimed'
  record: TicketRecord
}

/** Creates the record of a ticket, or finds the one that an earlier submission of the same ticket created. */
export async function claimNumber (submission: Submission): Promise<ClaimedNumber | TicketOutcome> {
  const { ticket, options, digest, pause } = submission
  const { number } = ticket
  const newRecord: TicketRecord = {
    number,
    digest,
    nonce: randomUUID(),
    scopes: Object.keys(ticket.scopes),
    ...(ticket.note === undefined ? {} : { note: ticket.note }),
    submittedMs: options.runtime.nowMs(),
    submittedBy: options.operator
  }
  const result = await ensureObject(ticketKey(number), newRecord, { store: options.store, pause })
  if (result.kind === 'created') return { kind: 'claimed', record: newRecord }
  if (result.kind === 'unsettled') return uncertainOutcome(number, result.cause)
  if (result.kind === 'notApplied') return { kind: 'refused', number, reason: 'storeUnavailable', facts: { cause: result.cause } }
  const stored = ticketRecordSchema.parse(result.value)
  return stored.digest === digest ? { kind: 'claimed', record: stored } : refuseTakenNumber(number, stored)
}

/** Refusal of a ticket whose number belongs to another one; the facts describe that one. */
export function refuseTakenNumber (number: number, existing: Partial<TicketRecord> & { digest: string }): TicketOutcome {
  const { submittedBy, submittedMs, digest, scopes, note } = existing
  return { kind: 'refused', number, reason: 'ticketNumberTaken', facts: { submittedBy, submittedMs, digest, scopes, note } }
}

/** Writes the values of all scopes that the ticket sets; returns an outcome only if that fails. */
export async function writeValues (submission: Submission): Promise<TicketOutcome | undefined> {
  const { ticket, options, pause } = submission
  for (const [scope, value] of Object.entries(ticket.scopes)) {
    if (value === null) continue
    const result = await ensureObject(scopeKey(scope, ticket.number), value, { store: options.store, pause })
    if (result.kind === 'created') continue
    if (result.kind !== 'exists') return uncertainOutcome(ticket.number, result.cause)
    if (digestJson(result.value) !== digestJson(value)) return refuseConflictingValue(ticket, scope)
  }
  return undefined
}

/**
 * Happens only after the store was restored to a state before another ticket claimed this number, and a delayed write
 * of that ticket then took effect.
 */
function refuseConflictingValue (ticket: Ticket, scope: string): TicketOutcome {
  const facts = { scope, cause: 'the store holds another value for this scope and number; use a new number' }
  return { kind: 'refused', number: ticket.number, reason: 'ticketNumberTaken', facts }
}
