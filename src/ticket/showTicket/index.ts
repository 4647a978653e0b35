/**
 * What operators read back of tickets.
 */
import { memberKey, type Member } from '../../member/types.js'
import type { ObjectStore } from '../../objectApi/types.js'
import { TICKET_PREFIX, ticketKey } from '../constants.js'
import { ticketRecordSchema, type Head, type TicketRecord } from '../types.js'

/** How far a ticket has come into force. */
export interface ShownTicket extends TicketRecord {
  state: 'recorded' | 'accepted' | 'inForce'
  /** Members that have it in force, of those that are live. */
  inForceOn: number
  members: number
  byFailureDomain: Record<string, { inForceOn: number, members: number }>
  /** Members that do not have it in force yet, with the revision that they report. */
  lagging: Array<{ member: string, failureDomain: string, revisionInForce: number, status: string }>
}

/** Result of a look-up. */
export type ShowResult =
  | { kind: 'shown', ticket: ShownTicket }
  | { kind: 'unknown' }
  | { kind: 'unavailable', cause: string }

/**
 * @name showTicket
 * @summary State of one ticket.
 * @param number - Number of the ticket.
 * @param options - Store, live members and the head in force on this host.
 * @returns The ticket with its progress by failure domain.
 *
 * @example
 * const shown = await showTicket(7, { store, members: table.live(), inForce: holder.current().head })
 */
export async function showTicket (
  number: number,
  options: { store: ObjectStore, members: Member[], inForce: Head }
): Promise<ShowResult> {
  const { store, members, inForce } = options
  const read = await store.read(ticketKey(number))
  if (read.kind === 'unavailable') return read
  if (read.kind === 'absent') return { kind: 'unknown' }
  const record = ticketRecordSchema.parse(read.object.value)
  const accepted = record.scopes.some(scope => inForce.scopes[scope] === number)
  const isInForce = (member: Member): boolean => accepted && member.revisionInForce >= inForce.revision
  const inForceOn = members.filter(isInForce).length
  return {
    kind: 'shown',
    ticket: {
      ...record,
      state: !accepted ? 'recorded' : inForceOn === members.length ? 'inForce' : 'accepted',
      inForceOn,
      members: members.length,
      byFailureDomain: countByFailureDomain(members, isInForce),
      lagging: members.filter(member => !isInForce(member)).map(member => ({
        member: memberKey(member),
        failureDomain: member.failureDomain,
        revisionInForce: member.revisionInForce,
        status: member.status
      }))
    }
  }
}

/**
 * @name listTickets
 * @summary The recorded tickets in the order of their numbers.
 * @param store - The object API.
 * @returns The records, or that the store is not available.
 *
 * @example
 * const { tickets } = await listTickets(store)
 */
export async function listTickets (store: ObjectStore): Promise<{ tickets: TicketRecord[], unavailable?: string }> {
  const listed = await store.list(TICKET_PREFIX)
  if (listed.kind === 'unavailable') return { tickets: [], unavailable: listed.cause }
  const tickets = listed.objects
    .map(object => ticketRecordSchema.parse(object.value))
    .sort((a, b) => a.number - b.number)
  return { tickets }
}

function countByFailureDomain (members: Member[], isInForce: (member: Member) => boolean): ShownTicket['byFailureDomain'] {
  const counts: ShownTicket['byFailureDomain'] = {}
  for (const member of members) {
    const count = counts[member.failureDomain] ??= { inForceOn: 0, members: 0 }
    count.members += 1
    if (isInForce(member)) count.inForceOn += 1
  }
  return counts
}
