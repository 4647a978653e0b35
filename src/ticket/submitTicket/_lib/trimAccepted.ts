/**
 * Keeps the head's list of accepted tickets short without losing an acceptance.
 */
import type { ObjectStore } from '../../../objectApi/types.js'
import { HEAD_ONLY_ACCEPTANCES, MAX_ACCEPTED_IN_HEAD, ticketKey } from '../../constants.js'
import { ticketRecordSchema, type AcceptedTicket, type TicketRecord } from '../../types.js'

/** Largest number of entries that one submission notes in their records. */
const MAX_NOTED_PER_SUBMISSION = 2

/**
 * Notes older acceptances in the records of their tickets and drops the oldest noted ones. An entry
 * leaves the list only once its record notes the acceptance and `MAX_ACCEPTED_IN_HEAD` others have
 * followed, so that restoring the store to a state less far back does not lose an acceptance.
 */
export async function trimAccepted (accepted: readonly AcceptedTicket[], store: ObjectStore): Promise<AcceptedTicket[]> {
  const toNote = accepted.slice(0, Math.max(0, accepted.length - HEAD_ONLY_ACCEPTANCES)).filter(entry => entry.noted !== true)
  const noted = new Set<AcceptedTicket>()
  for (const entry of toNote.slice(0, MAX_NOTED_PER_SUBMISSION)) {
    if (await noteInRecord(entry, store)) noted.add(entry)
  }
  const list = accepted.map(entry => noted.has(entry) ? { ...entry, noted: true } : entry)
  const excess = list.length - MAX_ACCEPTED_IN_HEAD
  return list.filter((entry, index) => index >= excess || entry.noted !== true)
}

/** Writes the accepted revision into the ticket's record; `true` if the record is known to have it. */
async function noteInRecord (entry: AcceptedTicket, store: ObjectStore): Promise<boolean> {
  const key = ticketKey(entry.ticket)
  const read = await store.read(key)
  if (read.kind === 'unavailable') return false
  const stored = read.kind === 'found' ? ticketRecordSchema.parse(read.object.value) : undefined
  const isSameTicket = stored?.digest === entry.digest
  if (isSameTicket && stored.acceptedRevision !== undefined) return true
  const record = { ...(isSameTicket ? stored : recreateRecord(entry)), acceptedRevision: entry.revision }
  const condition = read.kind === 'found' ? { ifVersion: read.object.version } : { ifAbsent: true as const }
  const written = await store.write(key, record, condition)
  return written.kind === 'written'
}

/** Replacement of a record that the store has lost, with the fields that the head still knows. */
function recreateRecord ({ ticket, digest }: AcceptedTicket): TicketRecord {
  return { number: ticket, digest, nonce: 'recreated', scopes: [], submittedMs: 0, submittedBy: 'unknown' }
}
