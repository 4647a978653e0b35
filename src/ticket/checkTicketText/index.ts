/**
 * Checks a ticket file and gives the line of each fault.
 */
import { z } from 'zod'
import { locateField } from '../../settings/locateField/index.js'
import { parseJsonc, type ParseResult, type SettingsFault } from '../../settings/parseJsonc/index.js'
import { checkTicket } from '../checkTicket/index.js'
import { SCOPE_SCHEMAS, ticketSchema, type ScopeKind, type Ticket, type TicketFault } from '../types.js'

/**
 * @name checkTicketText
 * @summary Parses a ticket file and makes every check that needs no running system.
 * @param text - Content of the file.
 * @param options - `file`, the name used in faults.
 * @returns The ticket or its faults.
 *
 * @example
 * const result = checkTicketText(text, { file: 'ticket-7.jsonc' })
 */
export function checkTicketText (text: string, options: { file: string }): ParseResult<Ticket> {
  const parsed = parseJsonc(text, ticketSchema, options)
  if (parsed.kind === 'invalid') return parsed
  const ticket = parsed.value
  const checked = parseJsonc(text, buildTicketSchema(ticket), options)
  if (checked.kind === 'invalid') return checked
  const faults = checkTicket(ticket)
  if (faults.length === 0) return parsed
  return { kind: 'invalid', faults: faults.map(fault => locateFault(fault, text, options.file)) }
}

/** The ticket schema, with the schema of each scope that this ticket names. */
function buildTicketSchema (ticket: Ticket): z.ZodType<unknown> {
  const scopes = Object.keys(ticket.scopes).map(scope => {
    const scopeKind = SCOPE_SCHEMAS[scope.split('/')[0] as ScopeKind]
    return [scope, scopeKind === undefined ? z.unknown() : z.nullable(scopeKind.schema)] as const
  })
  return ticketSchema.extend({ scopes: z.strictObject(Object.fromEntries(scopes)) })
}

function locateFault (fault: TicketFault, text: string, file: string): SettingsFault {
  const fieldPath = fault.field === '' ? [] : fault.field.split('.').map(segment => /^\d+$/.test(segment) ? Number(segment) : segment)
  const path = ['scopes', fault.scope, ...fieldPath]
  return { file, line: locateField(text, path), field: path.join('.'), message: fault.message }
}
