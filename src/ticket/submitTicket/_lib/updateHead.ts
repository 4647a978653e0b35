/**
 * The one write that accepts a ticket. A lost answer is settled by writing again under the same
 * version: whichever write takes effect moves the version, so that none of the others can, and
 * the head itself lists what was accepted. Nothing is concluded from a read that does not show it.
 */
import { randomUUID } from 'node:crypto'
import type { Configuration } from '../../../configuration/types.js'
import type { WriteCondition } from '../../../objectApi/types.js'
import { applyTicket, checkTicket } from '../../checkTicket/index.js'
import { HEAD_KEY, ticketKey } from '../../constants.js'
import { ticketRecordSchema, type Head, type TicketOutcome } from '../../types.js'
import { checkHosts } from './checkHosts.js'
import { loadBase, type Base } from './loadBase.js'
import { refuseTaken, type ClaimedNumber } from './recordTicket.js'
import { undecided, type Submission } from './submission.js'
import { trimAccepted } from './trimAccepted.js'

type Step = TicketOutcome | 'again'

/**
 * Makes one try to move the head; `again` when the next try may tell more. A refusal
 * that follows from the ticket and the stored head alone needs no fencing write: every submission
 * of the ticket refuses at that version, so none has a write waiting for it. One that rests on
 * anything else is reported only after the version has moved.
 */
export async function updateHead (submission: Submission, claim: ClaimedNumber): Promise<Step> {
  const { ticket, options, digest } = submission
  const { number } = ticket
  const base = await loadBase(submission)
  if (base.kind === 'unavailable') return undecided(number, base.cause)
  if (base.kind === 'behind') return undecided(number, 'this host is behind other members; they will tell it')
  const { configuration } = base
  const accepted = await findAcceptance(submission, configuration.head)
  if (accepted !== undefined) return accepted
  const superseded = refuseSuperseded(submission, configuration.head)
  if (superseded !== undefined) return superseded
  const refusal = refuseOnBase(submission, configuration.head) ?? refuseOnContent(submission, configuration)
  if (refusal !== undefined) return base.restored ? await refuseFenced(refusal, base, submission) : refusal
  const hostFaults = await checkHosts(ticket, options)
  if (hostFaults.length > 0) {
    return await refuseFenced({ kind: 'refused', number, reason: 'ticketUnknownHost', facts: { faults: hostFaults } }, base, submission)
  }
  const applied = applyTicket(configuration, ticket)
  const list = await trimAccepted(configuration.head.accepted ?? [], options.store)
  const next: Head = {
    ...applied.head,
    nonce: claim.record.nonce,
    accepted: [...list, { ticket: number, revision: applied.head.revision, digest }]
  }
  const written = await options.store.write(HEAD_KEY, next, conditionOf(base))
  if (written.kind === 'written') {
    options.onAccepted?.({ ...applied, head: next })
    return { kind: 'accepted', number, revision: next.revision }
  }
  return written.kind === 'notApplied' ? undecided(number, written.cause) : 'again'
}

/** Whether this ticket, or another one of its number, was accepted at any time. */
async function findAcceptance ({ ticket, digest, options }: Submission, head: Head): Promise<Step | undefined> {
  const { number } = ticket
  const listed = head.accepted?.find(entry => entry.ticket === number)
  if (listed !== undefined) {
    return listed.digest === digest ? { kind: 'accepted', number, revision: listed.revision } : refuseTaken(number, { digest: listed.digest })
  }
  const everyScopeMoved = Object.keys(ticket.scopes).every(scope => lastTicketOf(head, scope) >= number)
  if (!everyScopeMoved) return undefined
  const read = await options.store.read(ticketKey(number))
  if (read.kind === 'unavailable') return undecided(number, read.cause)
  if (read.kind === 'absent') return undefined
  const { acceptedRevision } = ticketRecordSchema.parse(read.object.value)
  return acceptedRevision === undefined ? undefined : { kind: 'accepted', number, revision: acceptedRevision }
}

/** Number of the ticket that last set or removed a scope; 0 where none did. */
function lastTicketOf (head: Head, scope: string): number {
  return head.scopes[scope] ?? head.removed?.[scope] ?? 0
}

/** Final: the numbers of a scope never fall, so no write of this ticket can still take effect. */
function refuseSuperseded ({ ticket }: Submission, head: Head): TicketOutcome | undefined {
  const { number } = ticket
  const scope = Object.keys(ticket.scopes).find(name => lastTicketOf(head, name) > number)
  if (scope === undefined) return undefined
  const facts = { scope, inForce: lastTicketOf(head, scope), revision: head.revision }
  return { kind: 'refused', number, reason: 'ticketSuperseded', facts }
}

function refuseOnBase ({ ticket }: Submission, head: Head): TicketOutcome | undefined {
  const { number, baseRevision } = ticket
  if (baseRevision === undefined || baseRevision === head.revision) return undefined
  return { kind: 'refused', number, reason: 'ticketStaleBase', facts: { baseRevision, revision: head.revision, movedBy: head.ticket } }
}

function refuseOnContent ({ ticket }: Submission, base: Configuration): TicketOutcome | undefined {
  const faults = checkTicket(ticket, { base })
  if (faults.length === 0) return undefined
  return { kind: 'refused', number: ticket.number, reason: 'ticketInconsistent', facts: { faults, revision: base.head.revision } }
}

/** Reports a refusal once the version has moved, so that no earlier write of the ticket can land. */
async function refuseFenced (refusal: TicketOutcome, base: Base, { options }: Submission): Promise<Step> {
  const fence: Head = { ...base.configuration.head, nonce: randomUUID() }
  const written = await options.store.write(HEAD_KEY, fence, conditionOf(base))
  if (written.kind === 'written') return refusal
  return written.kind === 'notApplied' ? undecided(refusal.number, written.cause) : 'again'
}

function conditionOf (base: Base): WriteCondition {
  return base.headVersion === 'absent' ? { ifAbsent: true } : { ifVersion: base.headVersion }
}
