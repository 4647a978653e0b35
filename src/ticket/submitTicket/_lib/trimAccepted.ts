/**
 * Keeping the head's list of accepted tickets short without losing an acceptance.
 */
import type { ObjectStore } from '../../../objectApi/types.js'
import { MAX_ACCEPTED_IN_HEAD, ticketKey, UNNOTED_IN_HEAD } from '../../constants.js'
import { ticketRecordSchema, type AcceptedTicket, type TicketRecord } from '../../types.js'

/** Entries that one submission notes in their records at most. */
const MAX_NOTED = 2

/**
 * Notes older acceptances in the tickets' own records and drops the oldest noted ones. An entry
 * leaves the list only when its record says so, and only after many others have followed, so
 * that a store restored by less than that does not lose an acceptance.
 */
export async function trimAccepted (accepted: readonly AcceptedTicket[], store: ObjectStore): Promise<AcceptedTicket[]> {
  const due = accepted.slice(0, Math.max(0, accepted.length - UNNOTED_IN_HEAD)).filter(entry => entry.noted !== true)
  const noted = new Set<AcceptedTicket>()
  for (const entry of due.slice(0, MAX_NOTED)) {
    if (await noteInRecord(entry, store)) noted.add(entry)
  }
  const list = accepted.map(entry => noted.has(entry) ? { ...entry, noted: true } : entry)
  const excess = list.length - MAX_ACCEPTED_IN_HEAD
  return list.filter((entry, index) => index >= excess || entry.noted !== true)
}

async function noteInRecord (entry: AcceptedTicket, store: ObjectStore): Promise<boolean> {
  const key = ticketKey(entry.ticket)
  const read = await store.read(key)
  if (read.kind === 'unavailable') return false
  const stored = read.kind === 'found' ? ticketRecordSchema.parse(read.object.value) : undefined
  const isOwn = stored?.digest === entry.digest
  if (isOwn && stored.acceptedRevision !== undefined) return true
  const record = { ...(isOwn ? stored : recreateRecord(entry)), acceptedRevision: entry.revision }
  const condition = read.kind === 'found' ? { ifVersion: read.object.version } : { ifAbsent: true as const }
  const written = await store.write(key, record, condition)
  return written.kind === 'written'
}

/** A record that the store has lost, as far as the head tells it. */
function recreateRecord ({ ticket, digest }: AcceptedTicket): TicketRecord {
  return { number: ticket, digest, nonce: 'recreated', scopes: [], submittedMs: 0, submittedBy: 'unknown' }
}
