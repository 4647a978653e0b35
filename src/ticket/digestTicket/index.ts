/**
 * Digests that identify the content of a ticket or of another JSON value.
 */
import { createHash } from 'node:crypto'
import type { Ticket } from '../types.js'

/**
 * @name digestTicket
 * @summary Computes the digest of a ticket's content, independent of the order of fields.
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
 * @summary Computes the digest of a JSON value, independent of the order of fields and of the prototypes of its objects.
 * @param value - The value.
 * @returns SHA-256 in hexadecimal.
 *
 * @example
 * digestJson({ a: 1, b: 2 }) === digestJson({ b: 2, a: 1 }) // true
 */
export function digestJson (value: unknown): string {
  return createHash('sha256').update(canonicalJson(value)).digest('hex')
}

/** JSON with the fields of every object sorted by name. */
function canonicalJson (value: unknown): string {
  return JSON.stringify(value, (_key, nested: unknown) => {
    if (nested === null || typeof nested !== 'object' || Array.isArray(nested)) return nested
    return Object.fromEntries(Object.entries(nested).sort(([a], [b]) => a < b ? -1 : 1))
  })
}
