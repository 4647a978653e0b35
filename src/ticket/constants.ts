/**
 * Keys under which tickets and the configuration are stored, and the limits of the head's list of accepted tickets.
 */

/** Key of the head. A ticket is accepted by a conditional update of this object, and by nothing else. */
export const HEAD_KEY = 'config/head'

/** Prefix of the keys of scope values, which are immutable. */
export const SCOPE_PREFIX = 'config/scopes/'

/** Prefix of the keys of ticket records. */
export const TICKET_PREFIX = 'tickets/'

/** Number of the latest acceptances that only the head lists; earlier ones are noted in the tickets' records too. */
export const HEAD_ONLY_ACCEPTANCES = 32

/**
 * Number of acceptances that the head lists in all. The noted ones among them are kept so that they are still known
 * after the store was restored to a state without the notes in their records.
 */
export const MAX_ACCEPTED_IN_HEAD = 128

/** Key of the record of a ticket. */
export function ticketKey (number: number): string {
  return `${TICKET_PREFIX}${number}`
}

/** Key of the value that a ticket sets for a scope. */
export function scopeKey (scope: string, ticket: number): string {
  return `${SCOPE_PREFIX}${scope}/${ticket}`
}
