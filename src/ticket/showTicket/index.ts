/**
 * Queries of operators about tickets. While the store is down they are answered from the head in
 * force on the host that is asked, which lists only recently accepted tickets.
 */
import { memberKey, type Member } from '../../member/types.js'
import type { ObjectStore } from '../../objectApi/types.js'
import { TICKET_PREFIX, ticketKey } from '../constants.js'
import { ticketRecordSchema, type Head, type TicketRecord } from '../types.js'

/** Whether the store could be read for an answer. */
export type StoreState = 'reached' | 'unavailable'

/** A member that does not have a ticket in force yet. */
export interface LaggingMember {
  member: string
  failureDomain: string
  revisionInForce: number
  status: string
  why: string
}

/** How far a ticket has come into force. Fields of its record are missing while the store is down. */
export interface TicketProgress extends Partial<TicketRecord> {
  number: number
  store: StoreState
  state: 'recorded' | 'accepted' | 'inForce'
  /** Scopes that a ticket with a higher number has set or removed, each with that number. */
  replacedBy: Record<string, number>
  /** Number of live members that have it in force. */
  inForceOn: number
  /** Number of live members. */
  members: number
  byFailureDomain: Record<string, { inForceOn: number, members: number }>
  /** Members without it, dead ones included. */
  lagging: LaggingMember[]
}

/** Result of looking up a ticket. */
export type ShowTicketResult =
  | { kind: 'shown', ticket: TicketProgress }
  | { kind: 'unknown' }
  | { kind: 'unavailable', cause: string }

/** The store, and the state of this host that an answer is computed from. */
export interface ShowTicketOptions {
  store: ObjectStore
  /** All members, dead ones included. */
  members: Member[]
  /** The head in force on this host. */
  inForce: Head
}

/**
 * @name showTicket
 * @summary Looks up a ticket and how far it has come into force.
 * @param number - Number of the ticket.
 * @param options - Store, members and the head in force on this host.
 * @returns The ticket with its progress by failure domain; `unavailable` when only the store could tell and it is down.
 *
 * @example
 * const shown = await showTicket(7, { store, members: table.all(), inForce: holder.current().head })
 */
export async function showTicket (number: number, options: ShowTicketOptions): Promise<ShowTicketResult> {
  const { store, members, inForce } = options
  const read = await store.read(ticketKey(number))
  const record = read.kind === 'found' ? ticketRecordSchema.parse(read.object.value) : undefined
  const listed = inForce.accepted?.find(entry => entry.ticket === number)
  if (listed === undefined && read.kind === 'unavailable') return read
  if (listed === undefined && read.kind === 'absent') return { kind: 'unknown' }
  const revision = listed?.revision ?? record?.acceptedRevision
  return {
    kind: 'shown',
    ticket: {
      ...record,
      number,
      ...(revision === undefined ? {} : { acceptedRevision: revision }),
      store: read.kind === 'unavailable' ? 'unavailable' : 'reached',
      replacedBy: findReplacements(number, record?.scopes ?? [], inForce),
      ...countProgress(members, revision)
    }
  }
}

/**
 * @name listTickets
 * @summary Lists the recorded tickets in order of their numbers.
 * @param options - The store, and the head in force on this host.
 * @returns The tickets; while the store is down, only those that the head lists as accepted.
 *
 * @example
 * const { tickets, store } = await listTickets({ store, inForce: holder.current().head })
 */
export async function listTickets (
  options: { store: ObjectStore, inForce: Head }
): Promise<{ tickets: Array<Partial<TicketRecord> & { number: number }>, store: StoreState }> {
  const accepted = new Map((options.inForce.accepted ?? []).map(entry => [entry.ticket, entry.revision]))
  const listed = await options.store.list(TICKET_PREFIX)
  if (listed.kind === 'unavailable') {
    const tickets = [...accepted].map(([number, acceptedRevision]) => ({ number, acceptedRevision }))
    return { tickets: tickets.sort((a, b) => a.number - b.number), store: 'unavailable' }
  }
  const tickets = new Map<number, Partial<TicketRecord> & { number: number }>()
  for (const object of listed.objects) {
    const record = ticketRecordSchema.parse(object.value)
    tickets.set(record.number, record)
  }
  for (const [number, acceptedRevision] of accepted) tickets.set(number, { ...tickets.get(number), number, acceptedRevision })
  return { tickets: [...tickets.values()].sort((a, b) => a.number - b.number), store: 'reached' }
}

/** The scopes that a ticket with a higher number has set or removed, each with that number. */
function findReplacements (number: number, scopes: string[], head: Head): Record<string, number> {
  const entries = scopes
    .map(scope => [scope, head.scopes[scope] ?? head.removed?.[scope] ?? 0] as const)
    .filter(([, ticket]) => ticket > number)
  return Object.fromEntries(entries)
}

function countProgress (
  members: Member[],
  revision: number | undefined
): Pick<TicketProgress, 'state' | 'inForceOn' | 'members' | 'byFailureDomain' | 'lagging'> {
  const isInForce = (member: Member): boolean => revision !== undefined && member.revisionInForce >= revision
  const live = members.filter(member => member.status !== 'dead')
  const inForceOn = live.filter(isInForce).length
  return {
    state: revision === undefined ? 'recorded' : inForceOn === live.length ? 'inForce' : 'accepted',
    inForceOn,
    members: live.length,
    byFailureDomain: countByFailureDomain(live, isInForce),
    lagging: members.filter(member => !isInForce(member)).map(member => ({
      member: memberKey(member),
      failureDomain: member.failureDomain,
      revisionInForce: member.revisionInForce,
      status: member.status,
      why: explainLag(member, revision)
    }))
  }
}

function explainLag (member: Member, revision: number | undefined): string {
  if (revision === undefined) return 'the ticket is not accepted'
  if (member.status === 'dead') return 'no heartbeat; not counted, and it refuses requests while it is cut off'
  if (member.status === 'suspect') return 'no recent heartbeat'
  if (member.revisionInForce === 0) return 'has no configuration yet'
  return `behind by ${revision - member.revisionInForce}`
}

function countByFailureDomain (members: Member[], isInForce: (member: Member) => boolean): TicketProgress['byFailureDomain'] {
  const counts: TicketProgress['byFailureDomain'] = {}
  for (const member of members) {
    const count = counts[member.failureDomain] ??= { inForceOn: 0, members: 0 }
    count.members += 1
    if (isInForce(member)) count.inForceOn += 1
  }
  return counts
}
