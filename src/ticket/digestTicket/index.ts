/**
 * Identity of a ticket's content.
 */
import { createHash } from 'node:crypto'
import type { Ticket } from '../types.js'

/**
 * @name digestTicket
 * @summary Digest of a ticket's content, the same for any order of fields.
 * @param ticket - The ticket.
 * @returns SHA-256 in hexadecimal.
 *
 * @example
 * digestTicket(ticket) === digestTicket(structuredClone(ticket)) // true
 */
export function digestTicket (ticket: Ticket): string {
  return digestJson(ticket)
}

/**
 * @name digestJson
 * @summary Digest of a JSON value, the same for any order of fields and any prototype of its objects.
 * @param value - The value.
 * @returns SHA-256 in hexadecimal.
 *
 * @example
 * digestJson({ a: 1, b: 2 }) === digestJson({ b: 2, a: 1 }) // true
 */
export function digestJson (value: unknown): string {
  return createHash('sha256').update(canonicalJson(value)).digest('hex')
}

/** JSON with the fields of every object in order of their names. */
function canonicalJson (value: unknown): string {
  return JSON.stringify(value, (_key, inner: unknown) => {
    if (inner === null || typeof inner !== 'object' || Array.isArray(inner)) return inner
    return Object.fromEntries(Object.entries(inner).sort(([a], [b]) => a < b ? -1 : 1))
  })
}
