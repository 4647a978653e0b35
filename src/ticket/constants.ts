/**
 * Keys under which tickets and configuration are stored.
 */

/** The one object whose conditional update is the acceptance of a ticket. */
export const HEAD_KEY = 'config/head'

/** Prefix of the immutable scope values. */
export const SCOPE_PREFIX = 'config/scopes/'

/** Prefix of the records of tickets. */
export const TICKET_PREFIX = 'tickets/'

/** Acceptances that the head lists before they move to the tickets' records. */
export const MAX_ACCEPTED_IN_HEAD = 32

/** Key of a ticket's record. */
export function ticketKey (number: number): string {
  return `${TICKET_PREFIX}${number}`
}

/** Key of the value that a ticket gives a scope. */
export function scopeKey (scope: string, ticket: number): string {
  return `${SCOPE_PREFIX}${scope}/${ticket}`
}
