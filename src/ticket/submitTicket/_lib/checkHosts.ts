/**
 * Checks the hosts of a ticket's targets against the platform's host list.
 */
import { findNearest } from '../../../settings/findNearest/index.js'
import { targetsScopeSchema, type Ticket, type TicketFault } from '../../types.js'
import type { SubmitTicketOptions } from './submission.js'

/** Finds targets on hosts that are not in the host list; finds no faults while the list cannot be read. */
export async function checkHosts (ticket: Ticket, options: SubmitTicketOptions): Promise<TicketFault[]> {
  const scopes = Object.entries(ticket.scopes).filter(([scope, value]) => scope.startsWith('targets/') && value !== null)
  if (scopes.length === 0 || options.hosts === undefined) return []
  const hosts = await options.hosts()
  if (hosts === undefined) return []
  const names = new Set(hosts.map(host => host.name))
  return scopes.flatMap(([scope, value]) => targetsScopeSchema.parse(value).targets.flatMap(({ host }, index) => {
    if (names.has(host)) return []
    const nearest = findNearest(host, [...names])
    const hint = nearest === undefined ? '' : `; did you mean "${nearest}"?`
    return [{ scope, field: `targets.${index}.host`, message: `host "${host}" is not in the host list${hint}` }]
  }))
}
