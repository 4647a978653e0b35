/**
 * The first writes of a submission: the record, which decides who has the number, and the values
 * of the scopes, which nobody reads before the head names them.
 */
import { randomUUID } from 'node:crypto'
import { isDeepStrictEqual } from 'node:util'
import { ensureObject } from '../../../objectApi/ensureObject/index.js'
import { scopeKey, ticketKey } from '../../constants.js'
import { ticketRecordSchema, type Ticket, type TicketOutcome, type TicketRecord } from '../../types.js'
import { undecided, type Submission } from './submission.js'

/** The number is this ticket's. */
export interface ClaimedNumber {
  kind: 'claimed'
  record: TicketRecord
}

/** Creates the ticket's record, or finds that the same ticket has one already. */
export async function claimNumber (submission: Submission): Promise<ClaimedNumber | TicketOutcome> {
  const { ticket, options, digest, pause } = submission
  const { number } = ticket
  const mine: TicketRecord = {
    number,
    digest,
    nonce: randomUUID(),
    scopes: Object.keys(ticket.scopes),
    ...(ticket.note === undefined ? {} : { note: ticket.note }),
    submittedMs: options.runtime.nowMs(),
    submittedBy: options.operator
  }
  const result = await ensureObject(ticketKey(number), mine, { store: options.store, pause })
  if (result.kind === 'created') return { kind: 'claimed', record: mine }
  if (result.kind === 'unsettled') return undecided(number, result.cause)
  if (result.kind === 'notApplied') return { kind: 'refused', number, reason: 'storeUnavailable', facts: { cause: result.cause } }
  const stored = ticketRecordSchema.parse(result.value)
  return stored.digest === digest ? { kind: 'claimed', record: stored } : refuseTaken(number, stored)
}

/** Refusal of a ticket whose number belongs to another one. */
export function refuseTaken (number: number, winner: Partial<TicketRecord> & { digest: string }): TicketOutcome {
  const { submittedBy, submittedMs, digest, scopes, note } = winner
  return { kind: 'refused', number, reason: 'ticketNumberTaken', facts: { submittedBy, submittedMs, digest, scopes, note } }
}

/** Writes every value that the ticket gives; the outcome only where that did not succeed. */
export async function writeValues (submission: Submission): Promise<TicketOutcome | undefined> {
  const { ticket, options, pause } = submission
  for (const [scope, value] of Object.entries(ticket.scopes)) {
    if (value === null) continue
    const result = await ensureObject(scopeKey(scope, ticket.number), value, { store: options.store, pause })
    if (result.kind === 'created') continue
    if (result.kind !== 'exists') return undecided(ticket.number, result.cause)
    const asStored = JSON.parse(JSON.stringify(value)) as unknown
    if (!isDeepStrictEqual(result.value, asStored)) return refuseForeignValue(ticket, scope)
  }
  return undefined
}

/** Only a store restored to before another ticket's claim, then reached by its late write, gets here. */
function refuseForeignValue (ticket: Ticket, scope: string): TicketOutcome {
  const facts = { scope, cause: 'the store keeps another value under this number; use a new number' }
  return { kind: 'refused', number: ticket.number, reason: 'ticketNumberTaken', facts }
}
