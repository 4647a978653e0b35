/**
 * Checks of a ticket that need nothing but the ticket and, where given, what is in force.
 */
import { buildConfiguration } from '../../configuration/buildConfiguration/index.js'
import type { Configuration } from '../../configuration/types.js'
import { findNearest } from '../../settings/findNearest/index.js'
import { SCOPE_SCHEMAS, type ModelScope, type ScopeKind, type Ticket, type TicketFault } from '../types.js'

/**
 * @name checkTicket
 * @summary Faults of a ticket: unknown scopes, values against their schema, and references.
 * @param ticket - The ticket, already of the outer shape.
 * @param options - `base`, the configuration that the ticket would change; references to other scopes are checked only with it.
 * @returns The faults; empty for a sound ticket.
 *
 * @example
 * const faults = checkTicket(ticket, { base: holder.current() })
 */
export function checkTicket (ticket: Ticket, options: { base?: Configuration } = {}): TicketFault[] {
  const faults = Object.entries(ticket.scopes).flatMap(([scope, value]) => checkScope(scope, value))
  if (faults.length > 0 || options.base === undefined) return faults
  return checkReferences(applyTicket(options.base, ticket))
}

/**
 * @name applyTicket
 * @summary The configuration that a ticket would bring about.
 * @param base - The configuration before.
 * @param ticket - A ticket whose values match their schemas.
 * @returns A new configuration, one revision up.
 *
 * @example
 * const next = applyTicket(holder.current(), ticket)
 */
export function applyTicket (base: Configuration, ticket: Ticket): Configuration {
  const values = new Map(base.values)
  const scopes = { ...base.head.scopes }
  const removed = { ...base.head.removed }
  for (const [scope, value] of Object.entries(ticket.scopes)) {
    if (value === null) {
      values.delete(scope)
      delete scopes[scope]
      removed[scope] = ticket.number
    } else {
      delete removed[scope]
      values.set(scope, value)
      scopes[scope] = ticket.number
    }
  }
  const head = { ...base.head, revision: base.head.revision + 1, scopes, removed, ticket: ticket.number }
  return buildConfiguration(head, values)
}

function checkScope (scope: string, value: unknown): TicketFault[] {
  const [kind = '', name] = splitScope(scope)
  const rule = SCOPE_SCHEMAS[kind as ScopeKind]
  if (rule === undefined) {
    const nearest = findNearest(kind, Object.keys(SCOPE_SCHEMAS))
    const hint = nearest === undefined ? '' : `; did you mean "${nearest}"?`
    return [{ scope, field: '', message: `unknown kind of scope "${kind}"${hint}` }]
  }
  if (rule.requiresName !== (name !== undefined && name !== '')) {
    return [{ scope, field: '', message: rule.requiresName ? `expected "${kind}/<name>"` : `expected "${kind}" alone` }]
  }
  if (value === null) return []
  const checked = rule.schema.safeParse(value)
  const shapeFaults = checked.success
    ? []
    : checked.error.issues.map(issue => ({ scope, field: issue.path.join('.'), message: issue.message }))
  if (shapeFaults.length > 0 || kind !== 'models') return shapeFaults
  return checkLayers(scope, checked.data as ModelScope)
}

function splitScope (scope: string): [string, string | undefined] {
  const at = scope.indexOf('/')
  return at < 0 ? [scope, undefined] : [scope.slice(0, at), scope.slice(at + 1)]
}

/** Every layer must be held by some target, so that a chain can cover the model. */
function checkLayers (scope: string, model: ModelScope): TicketFault[] {
  const faults = model.placement.flatMap((part, index) => {
    const field = `placement.${index}`
    if (part.fromLayer >= part.toLayer) return [{ scope, field, message: 'fromLayer must be below toLayer' }]
    if (part.toLayer > model.layers) return [{ scope, field, message: `toLayer is past the model's ${model.layers} layers` }]
    return []
  })
  if (faults.length > 0) return faults
  const reachable = new Set([0])
  const parts = [...model.placement].sort((a, b) => a.fromLayer - b.fromLayer)
  for (const part of parts) if (reachable.has(part.fromLayer)) reachable.add(part.toLayer)
  if (reachable.has(model.layers)) return []
  const hole = Math.max(...reachable)
  return [{ scope, field: 'placement', message: `no chain covers the model: no stage goes on from layer ${hole}` }]
}

function checkReferences (configuration: Configuration): TicketFault[] {
  const faults: TicketFault[] = []
  for (const [name, model] of configuration.models) {
    for (const [index, part] of model.placement.entries()) {
      const fault = checkTarget(configuration, part.target, 'engine')
      if (fault !== undefined) faults.push({ scope: `models/${name}`, field: `placement.${index}.target`, message: fault })
    }
  }
  for (const [name, service] of configuration.services) {
    for (const [index, target] of service.targets.entries()) {
      const fault = checkTarget(configuration, target, 'service')
      if (fault !== undefined) faults.push({ scope: `services/${name}`, field: `targets.${index}`, message: fault })
    }
  }
  return faults
}

function checkTarget (configuration: Configuration, name: string, kind: 'engine' | 'service'): string | undefined {
  const target = configuration.targets.get(name)
  if (target === undefined) {
    const nearest = findNearest(name, [...configuration.targets.keys()])
    return `no target "${name}"${nearest === undefined ? '' : `; did you mean "${nearest}"?`}`
  }
  return target.kind === kind ? undefined : `target "${name}" is of kind ${target.kind}, not ${kind}`
}
