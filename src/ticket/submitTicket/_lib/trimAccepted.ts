/**
 * Keeping the head's list of accepted tickets short without losing an acceptance.
 */
import type { ObjectStore } from '../../../objectApi/types.js'
import { MAX_ACCEPTED_IN_HEAD, ticketKey } from '../../constants.js'
import { ticketRecordSchema, type AcceptedTicket } from '../../types.js'

/** Entries that one submission moves out of the head at most. */
const MAX_MOVED = 2

/**
 * Moves the oldest acceptances into the tickets' own records. An entry leaves the list only when
 * its record is known to say so; otherwise the list stays longer until a later submission.
 */
export async function trimAccepted (accepted: readonly AcceptedTicket[], store: ObjectStore): Promise<AcceptedTicket[]> {
  const excess = Math.max(0, accepted.length - MAX_ACCEPTED_IN_HEAD)
  const moved = new Set<AcceptedTicket>()
  for (const entry of accepted.slice(0, Math.min(excess, MAX_MOVED))) {
    if (await noteInRecord(entry, store)) moved.add(entry)
  }
  return accepted.filter(entry => !moved.has(entry))
}

async function noteInRecord (entry: AcceptedTicket, store: ObjectStore): Promise<boolean> {
  const key = ticketKey(entry.ticket)
  const read = await store.read(key)
  if (read.kind !== 'found') return false
  const record = ticketRecordSchema.parse(read.object.value)
  if (record.acceptedRevision !== undefined) return true
  const written = await store.write(key, { ...record, acceptedRevision: entry.revision }, { ifVersion: read.object.version })
  return written.kind === 'written'
}
