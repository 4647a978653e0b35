/**
 * Keys under which tickets and configuration are stored.
 */

/** The one object whose conditional update is the acceptance of a ticket. */
export const HEAD_KEY = 'config/head'

/** Prefix of the immutable scope values. */
export const SCOPE_PREFIX = 'config/scopes/'

/** Prefix of the records of tickets. */
export const TICKET_PREFIX = 'tickets/'

/** Acceptances that only the head lists; earlier ones are noted in the tickets' records too. */
export const UNNOTED_IN_HEAD = 32

/** Acceptances that the head lists in all: the surplus outlives a store that is restored to an older state. */
export const MAX_ACCEPTED_IN_HEAD = 128

/** Key of a ticket's record. */
export function ticketKey (number: number): string {
  return `${TICKET_PREFIX}${number}`
}

/** Key of the value that a ticket gives a scope. */
export function scopeKey (scope: string, ticket: number): string {
  return `${SCOPE_PREFIX}${scope}/${ticket}`
}
