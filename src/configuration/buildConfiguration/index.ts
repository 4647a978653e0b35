/**
 * Builds the lookup tables of a configuration from the values of its scopes.
 */
import { accountsScopeSchema, modelScopeSchema, serviceScopeSchema, targetsScopeSchema, timeoutsScopeSchema, type Head } from '../../ticket/types.js'
import type { Configuration } from '../types.js'

/** Head for a store in which no ticket was accepted yet. */
export const EMPTY_HEAD: Head = { revision: 0, scopes: {}, nonce: '' }

/**
 * @name buildConfiguration
 * @summary Builds a configuration from a head and the values of its scopes.
 * @param head - The head.
 * @param values - Value by scope, for every scope of the head.
 * @returns The configuration with its lookup tables.
 * @throws ZodError if a value does not match its schema.
 *
 * @example
 * const empty = buildConfiguration(EMPTY_HEAD, new Map())
 */
export function buildConfiguration (head: Head, values: ReadonlyMap<string, unknown>): Configuration {
  const valuesOfKind = (kind: string): Array<[string, unknown]> => [...values]
    .filter(([scope]) => scope.startsWith(`${kind}/`))
    .map(([scope, value]) => [scope.slice(kind.length + 1), value])
  const targets = valuesOfKind('targets').flatMap(([, value]) => targetsScopeSchema.parse(value).targets)
  const accounts = valuesOfKind('accounts').flatMap(([, value]) => accountsScopeSchema.parse(value).accounts)
  return {
    head,
    values,
    models: new Map(valuesOfKind('models').map(([name, value]) => [name, modelScopeSchema.parse(value)])),
    services: new Map(valuesOfKind('services').map(([name, value]) => [name, serviceScopeSchema.parse(value)])),
    targets: new Map(targets.map(target => [target.name, target])),
    accounts: new Map(accounts.map(account => [account.name, account])),
    timeouts: timeoutsScopeSchema.parse(values.get('timeouts') ?? {})
  }
}
