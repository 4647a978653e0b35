/**
 * Carrying a ticket into force: its record, its values, then one conditional update of the head.
 */
import { randomUUID } from 'node:crypto'
import { loadConfiguration } from '../../configuration/loadConfiguration/index.js'
import type { EventLog } from '../../event/types.js'
import type { ObjectStore, WriteResult } from '../../objectApi/types.js'
import type { Runtime } from '../../runtime/types.js'
import { applyTicket, checkTicket } from '../checkTicket/index.js'
import { HEAD_KEY, scopeKey, ticketKey } from '../constants.js'
import { digestTicket } from '../digestTicket/index.js'
import { ticketRecordSchema, type Head, type Ticket, type TicketOutcome, type TicketRecord } from '../types.js'

/** How often a submission starts over because another ticket moved the head. */
const MAX_TRIES = 16

/** What a submission works with. */
export interface SubmitTicketOptions {
  store: ObjectStore
  runtime: Runtime
  log: EventLog
  /** Name of the operator, kept with the record. */
  operator: string
}

/**
 * @name submitTicket
 * @summary Carries a ticket into force or says why not.
 * @description Submitting the same ticket again is safe at any time and gives the same outcome.
 * @param ticket - The ticket.
 * @param options - Store, runtime, log and operator.
 * @returns The outcome; `uncertain` only while a write of this ticket may still take effect.
 *
 * @example
 * const outcome = await submitTicket(ticket, { store, runtime, log, operator: 'ana' })
 */
export async function submitTicket (ticket: Ticket, options: SubmitTicketOptions): Promise<TicketOutcome> {
  const outcome = await carryOut(ticket, options)
  const fields = { ticket: ticket.number, operator: options.operator }
  if (outcome.kind === 'accepted') options.log.emit('ticketAccepted', { ...fields, revision: outcome.revision })
  if (outcome.kind === 'refused') options.log.emit('ticketRefused', { ...fields, reason: outcome.reason, facts: outcome.facts })
  if (outcome.kind === 'uncertain') options.log.emit('ticketUncertain', { ...fields, cause: outcome.cause })
  return outcome
}

async function carryOut (ticket: Ticket, options: SubmitTicketOptions): Promise<TicketOutcome> {
  const { number } = ticket
  const faults = checkTicket(ticket)
  if (faults.length > 0) return { kind: 'refused', number, reason: 'ticketInvalid', facts: { faults } }
  const record = await claimNumber(ticket, options)
  if ('kind' in record) return record
  for (const [scope, value] of Object.entries(ticket.scopes)) {
    if (value === null) continue
    const written = await options.store.write(scopeKey(scope, number), value, { ifAbsent: true })
    if (written.kind !== 'written' && written.kind !== 'conflict') return notMoved(number, written)
  }
  for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
    const outcome = await moveHead(ticket, record, options)
    if (outcome !== 'again') return outcome
  }
  return { kind: 'refused', number, reason: 'ticketStaleBase', facts: { tries: MAX_TRIES } }
}

/** Creates the ticket's record, or finds that the same ticket has one already. */
async function claimNumber (ticket: Ticket, options: SubmitTicketOptions): Promise<TicketRecord | TicketOutcome> {
  const { store, runtime, operator } = options
  const { number } = ticket
  const mine: TicketRecord = {
    number,
    digest: digestTicket(ticket),
    nonce: randomUUID(),
    scopes: Object.keys(ticket.scopes),
    ...(ticket.note === undefined ? {} : { note: ticket.note }),
    submittedMs: runtime.nowMs(),
    submittedBy: operator
  }
  const written = await store.write(ticketKey(number), mine, { ifAbsent: true })
  if (written.kind === 'written') return mine
  if (written.kind === 'notApplied') return notMoved(number, written)
  const read = await store.read(ticketKey(number))
  if (read.kind !== 'found') return { kind: 'uncertain', number, cause: 'the record of the ticket could not be read back' }
  const stored = ticketRecordSchema.parse(read.object.value)
  if (stored.digest === mine.digest) return stored
  const { submittedBy, submittedMs, digest } = stored
  return { kind: 'refused', number, reason: 'ticketNumberTaken', facts: { submittedBy, submittedMs, digest } }
}

async function moveHead (ticket: Ticket, record: TicketRecord, options: SubmitTicketOptions): Promise<TicketOutcome | 'again'> {
  const { store } = options
  const { number } = ticket
  const loaded = await loadConfiguration(store)
  if (loaded.kind === 'unavailable') return { kind: 'uncertain', number, cause: loaded.cause }
  const { configuration, headVersion } = loaded
  const { head } = configuration
  if (isInForce(ticket, head)) return { kind: 'accepted', number, revision: head.revision }
  const refusal = refuseOnBase(ticket, head) ?? refuseOnContent(ticket, configuration)
  if (refusal !== undefined) return refusal
  const next: Head = { ...applyTicket(configuration, ticket).head, nonce: record.nonce }
  const condition = headVersion === 'absent' ? { ifAbsent: true as const } : { ifVersion: headVersion }
  const written = await store.write(HEAD_KEY, next, condition)
  if (written.kind === 'written') return { kind: 'accepted', number, revision: next.revision }
  if (written.kind === 'conflict') return 'again'
  return notMoved(number, written)
}

function isInForce (ticket: Ticket, head: Head): boolean {
  return Object.entries(ticket.scopes).every(([scope, value]) => value !== null && head.scopes[scope] === ticket.number)
}

function refuseOnBase (ticket: Ticket, head: Head): TicketOutcome | undefined {
  const { number, baseRevision } = ticket
  const newer = Object.keys(ticket.scopes).find(scope => (head.scopes[scope] ?? 0) > number)
  if (newer !== undefined) {
    return { kind: 'refused', number, reason: 'ticketSuperseded', facts: { scope: newer, inForce: head.scopes[newer], revision: head.revision } }
  }
  if (baseRevision !== undefined && baseRevision !== head.revision) {
    return { kind: 'refused', number, reason: 'ticketStaleBase', facts: { baseRevision, revision: head.revision, movedBy: head.ticket } }
  }
  return undefined
}

function refuseOnContent (ticket: Ticket, base: Parameters<typeof applyTicket>[0]): TicketOutcome | undefined {
  const faults = checkTicket(ticket, { base })
  if (faults.length === 0) return undefined
  return { kind: 'refused', number: ticket.number, reason: 'ticketInconsistent', facts: { faults, revision: base.head.revision } }
}

function notMoved (number: number, written: Exclude<WriteResult, { kind: 'written' | 'conflict' }>): TicketOutcome {
  if (written.kind === 'mayBeApplied') return { kind: 'uncertain', number, cause: written.cause }
  return { kind: 'refused', number, reason: 'storeUnavailable', facts: { cause: written.cause } }
}
