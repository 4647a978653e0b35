/**
 * The conditional write of the head, which accepts a ticket. After a lost answer the write is sent
 * again under the same version: whichever write takes effect changes the version, so that none of
 * the others can, and the head itself lists what was accepted. A head that does not list the ticket
 * proves nothing by itself, because a write may still be on its way.
 */
import { randomUUID } from 'node:crypto'
import type { Configuration } from '../../../configuration/types.js'
import type { WriteCondition } from '../../../objectApi/types.js'
import { applyTicket, checkTicket } from '../../checkTicket/index.js'
import { HEAD_KEY, ticketKey } from '../../constants.js'
import { ticketRecordSchema, type Head, type TicketOutcome } from '../../types.js'
import { checkHosts } from './checkHosts.js'
import { loadBase, type BaseConfiguration } from './loadBase.js'
import { refuseTakenNumber, type ClaimedNumber } from './recordTicket.js'
import { uncertainOutcome, type Submission } from './submission.js'
import { trimAccepted } from './trimAccepted.js'

type AttemptResult = TicketOutcome | 'retry'

/**
 * Tries once to update the head; `retry` when another attempt may settle the outcome. A refusal that
 * follows from the ticket and the stored head alone needs no fencing write: every submission of the
 * ticket is refused at that version, so none has sent a write under it. A refusal that depends on
 * anything else is reported only after a fencing write has changed the version.
 */
export async function updateHead (submission: Submission, claim: ClaimedNumber): Promise<AttemptResult> {
  const { ticket, options, digest } = submission
  const { number } = ticket
  const base = await loadBase(submission)
  if (base.kind === 'unavailable') return uncertainOutcome(number, base.cause)
  if (base.kind === 'behind') return uncertainOutcome(number, 'this host is behind other members and will receive the newer revision from them')
  const { configuration } = base
  const accepted = await findAcceptance(submission, configuration.head)
  if (accepted !== undefined) return accepted
  const superseded = refuseSuperseded(submission, configuration.head)
  if (superseded !== undefined) return superseded
  const refusal = refuseStaleBase(submission, configuration.head) ?? refuseInconsistent(submission, configuration)
  if (refusal !== undefined) return base.restored ? await fenceAndRefuse(refusal, base, submission) : refusal
  const hostFaults = await checkHosts(ticket, options)
  if (hostFaults.length > 0) {
    return await fenceAndRefuse({ kind: 'refused', number, reason: 'ticketUnknownHost', facts: { faults: hostFaults } }, base, submission)
  }
  const newConfiguration = applyTicket(configuration, ticket)
  const list = await trimAccepted(configuration.head.accepted ?? [], options.store)
  const newHead: Head = {
    ...newConfiguration.head,
    nonce: claim.record.nonce,
    accepted: [...list, { ticket: number, revision: newConfiguration.head.revision, digest }]
  }
  const written = await options.store.write(HEAD_KEY, newHead, headCondition(base))
  if (written.kind === 'written') {
    options.onAccepted?.({ ...newConfiguration, head: newHead })
    return { kind: 'accepted', number, revision: newHead.revision }
  }
  return written.kind === 'notApplied' ? uncertainOutcome(number, written.cause) : 'retry'
}

/** Outcome of a ticket whose number was accepted earlier, for this ticket or for another one. */
async function findAcceptance ({ ticket, digest, options }: Submission, head: Head): Promise<AttemptResult | undefined> {
  const { number } = ticket
  const listed = head.accepted?.find(entry => entry.ticket === number)
  if (listed !== undefined) {
    return listed.digest === digest ? { kind: 'accepted', number, revision: listed.revision } : refuseTakenNumber(number, { digest: listed.digest })
  }
  // An acceptance sets every scope of the ticket to its number, and the number of a scope never falls.
  const mayHaveBeenAccepted = Object.keys(ticket.scopes).every(scope => lastTicketOf(head, scope) >= number)
  if (!mayHaveBeenAccepted) return undefined
  const read = await options.store.read(ticketKey(number))
  if (read.kind === 'unavailable') return uncertainOutcome(number, read.cause)
  if (read.kind === 'absent') return undefined
  const { acceptedRevision } = ticketRecordSchema.parse(read.object.value)
  return acceptedRevision === undefined ? undefined : { kind: 'accepted', number, revision: acceptedRevision }
}

/** Number of the ticket that last set or removed a scope; 0 if none did. */
function lastTicketOf (head: Head, scope: string): number {
  return head.scopes[scope] ?? head.removed?.[scope] ?? 0
}

/** This refusal is final: the number of a scope never falls, so no write of this ticket can still take effect. */
function refuseSuperseded ({ ticket }: Submission, head: Head): TicketOutcome | undefined {
  const { number } = ticket
  const scope = Object.keys(ticket.scopes).find(name => lastTicketOf(head, name) > number)
  if (scope === undefined) return undefined
  const facts = { scope, inForce: lastTicketOf(head, scope), revision: head.revision }
  return { kind: 'refused', number, reason: 'ticketSuperseded', facts }
}

function refuseStaleBase ({ ticket }: Submission, head: Head): TicketOutcome | undefined {
  const { number, baseRevision } = ticket
  if (baseRevision === undefined || baseRevision === head.revision) return undefined
  return { kind: 'refused', number, reason: 'ticketStaleBase', facts: { baseRevision, revision: head.revision, movedBy: head.ticket } }
}

function refuseInconsistent ({ ticket }: Submission, base: Configuration): TicketOutcome | undefined {
  const faults = checkTicket(ticket, { base })
  if (faults.length === 0) return undefined
  return { kind: 'refused', number: ticket.number, reason: 'ticketInconsistent', facts: { faults, revision: base.head.revision } }
}

/** Changes the version of the head before a refusal is reported, so that no earlier write of the ticket can still take effect. */
async function fenceAndRefuse (refusal: TicketOutcome, base: BaseConfiguration, { options }: Submission): Promise<AttemptResult> {
  const fencingHead: Head = { ...base.configuration.head, nonce: randomUUID() }
  const written = await options.store.write(HEAD_KEY, fencingHead, headCondition(base))
  if (written.kind === 'written') return refusal
  return written.kind === 'notApplied' ? uncertainOutcome(refusal.number, written.cause) : 'retry'
}

/** The condition that the head is still the one that the base was loaded from. */
function headCondition (base: BaseConfiguration): WriteCondition {
  return base.headVersion === 'absent' ? { ifAbsent: true } : { ifVersion: base.headVersion }
}
