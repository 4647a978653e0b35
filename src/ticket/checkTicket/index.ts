/**
 * Checks that need only the ticket itself and, if given, the configuration that it would change.
 */
import { buildConfiguration } from '../../configuration/buildConfiguration/index.js'
import type { Configuration } from '../../configuration/types.js'
import { findNearest } from '../../settings/findNearest/index.js'
import { SCOPE_SCHEMAS, type ModelScope, type ScopeKind, type Ticket, type TicketFault } from '../types.js'

/**
 * @name checkTicket
 * @summary Finds the faults of a ticket: unknown scopes, values that do not match their schema, and references to missing targets.
 * @param ticket - The ticket, already checked against `ticketSchema`.
 * @param options - `base`, the configuration that the ticket would change; without it, references to other scopes are not checked.
 * @returns The faults; empty for a valid ticket.
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
 * @summary Computes the configuration that results from a ticket.
 * @param base - The configuration to change; it is not modified.
 * @param ticket - A ticket whose values match their schemas.
 * @returns A new configuration, with a revision one higher than the base.
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
  const scopeKind = SCOPE_SCHEMAS[kind as ScopeKind]
  if (scopeKind === undefined) {
    const nearest = findNearest(kind, Object.keys(SCOPE_SCHEMAS))
    const hint = nearest === undefined ? '' : `; did you mean "${nearest}"?`
    return [{ scope, field: '', message: `unknown scope kind "${kind}"${hint}` }]
  }
  if (scopeKind.requiresName !== (name !== undefined && name !== '')) {
    return [{ scope, field: '', message: scopeKind.requiresName ? `expected "${kind}/<name>"` : `expected "${kind}" without a name` }]
  }
  if (value === null) return []
  const checked = scopeKind.schema.safeParse(value)
  const schemaFaults = checked.success
    ? []
    : checked.error.issues.map(issue => ({ scope, field: issue.path.join('.'), message: issue.message }))
  if (schemaFaults.length > 0 || kind !== 'models') return schemaFaults
  return checkLayers(scope, checked.data as ModelScope)
}

function splitScope (scope: string): [string, string | undefined] {
  const separatorIndex = scope.indexOf('/')
  return separatorIndex < 0 ? [scope, undefined] : [scope.slice(0, separatorIndex), scope.slice(separatorIndex + 1)]
}

/** Some chain of placements must cover the model, each starting at the layer where the one before it ends. */
function checkLayers (scope: string, model: ModelScope): TicketFault[] {
  const faults = model.placement.flatMap((placement, index) => {
    const field = `placement.${index}`
    if (placement.fromLayer >= placement.toLayer) return [{ scope, field, message: 'fromLayer must be below toLayer' }]
    if (placement.toLayer > model.layers) return [{ scope, field, message: `toLayer must not exceed the model's ${model.layers} layers` }]
    return []
  })
  if (faults.length > 0) return faults
  const reachableLayers = new Set([0])
  const placements = [...model.placement].sort((a, b) => a.fromLayer - b.fromLayer)
  for (const placement of placements) if (reachableLayers.has(placement.fromLayer)) reachableLayers.add(placement.toLayer)
  if (reachableLayers.has(model.layers)) return []
  const lastReachableLayer = Math.max(...reachableLayers)
  return [{ scope, field: 'placement', message: `no chain covers the model: no placement starts at layer ${lastReachableLayer}` }]
}

function checkReferences (configuration: Configuration): TicketFault[] {
  const faults: TicketFault[] = []
  for (const [name, model] of configuration.models) {
    for (const [index, placement] of model.placement.entries()) {
      const fault = checkTarget(configuration, placement.target, 'engine')
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

/** Message of the fault, if the target is missing or of another kind. */
function checkTarget (configuration: Configuration, name: string, kind: 'engine' | 'service'): string | undefined {
  const target = configuration.targets.get(name)
  if (target === undefined) {
    const nearest = findNearest(name, [...configuration.targets.keys()])
    return `unknown target "${name}"${nearest === undefined ? '' : `; did you mean "${nearest}"?`}`
  }
  return target.kind === kind ? undefined : `target "${name}" is of kind ${target.kind}, not ${kind}`
}
