/**
 * Checks of a ticket file, with the line of each fault.
 */
import { z } from 'zod'
import { locateField } from '../../settings/locateField/index.js'
import { parseJsonc, type ParseResult, type SettingsFault } from '../../settings/parseJsonc/index.js'
import { checkTicket } from '../checkTicket/index.js'
import { SCOPE_SCHEMAS, ticketSchema, type ScopeKind, type Ticket, type TicketFault } from '../types.js'

/**
 * @name checkTicketText
 * @summary Reads a ticket file and checks all that can be checked without a running system.
 * @param text - Content of the file.
 * @param options - `file`, the name used in faults.
 * @returns The ticket or its faults.
 *
 * @example
 * const result = checkTicketText(text, { file: 'ticket-7.jsonc' })
 */
export function checkTicketText (text: string, options: { file: string }): ParseResult<Ticket> {
  const outer = parseJsonc(text, ticketSchema, options)
  if (outer.kind === 'invalid') return outer
  const ticket = outer.value
  const detailed = parseJsonc(text, detailSchema(ticket), options)
  if (detailed.kind === 'invalid') return detailed
  const faults = checkTicket(ticket)
  if (faults.length === 0) return outer
  return { kind: 'invalid', faults: faults.map(fault => placeFault(fault, text, options.file)) }
}

/** A schema that knows the scopes which this ticket names. */
function detailSchema (ticket: Ticket): z.ZodType<unknown> {
  const scopes = Object.keys(ticket.scopes).map(scope => {
    const rule = SCOPE_SCHEMAS[scope.split('/')[0] as ScopeKind]
    return [scope, rule === undefined ? z.unknown() : z.nullable(rule.schema)] as const
  })
  return ticketSchema.extend({ scopes: z.strictObject(Object.fromEntries(scopes)) })
}

function placeFault (fault: TicketFault, text: string, file: string): SettingsFault {
  const steps = fault.field === '' ? [] : fault.field.split('.').map(step => /^\d+$/.test(step) ? Number(step) : step)
  const path = ['scopes', fault.scope, ...steps]
  return { file, line: locateField(text, path), field: path.join('.'), message: fault.message }
}
