/**
 * Look-ups over the values of a head's scopes.
 */
import { accountsScopeSchema, modelScopeSchema, serviceScopeSchema, targetsScopeSchema, timeoutsScopeSchema, type Head } from '../../ticket/types.js'
import type { Configuration } from '../types.js'

/** Head of a store that holds no ticket yet. */
export const EMPTY_HEAD: Head = { revision: 0, scopes: {}, nonce: '' }

/**
 * @name buildConfiguration
 * @summary A configuration from a head and its scopes' values.
 * @param head - The head.
 * @param values - Value by scope, for every scope of the head.
 * @returns The configuration with its look-ups.
 * @throws ZodError where a value does not match its schema.
 *
 * @example
 * const empty = buildConfiguration(EMPTY_HEAD, new Map())
 */
export function buildConfiguration (head: Head, values: ReadonlyMap<string, unknown>): Configuration {
  const named = (kind: string): Array<[string, unknown]> => [...values]
    .filter(([scope]) => scope.startsWith(`${kind}/`))
    .map(([scope, value]) => [scope.slice(kind.length + 1), value])
  const targets = named('targets').flatMap(([, value]) => targetsScopeSchema.parse(value).targets)
  const accounts = named('accounts').flatMap(([, value]) => accountsScopeSchema.parse(value).accounts)
  return {
    head,
    values,
    models: new Map(named('models').map(([name, value]) => [name, modelScopeSchema.parse(value)])),
    services: new Map(named('services').map(([name, value]) => [name, serviceScopeSchema.parse(value)])),
    targets: new Map(targets.map(target => [target.name, target])),
    accounts: new Map(accounts.map(account => [account.name, account])),
    timeouts: timeoutsScopeSchema.parse(values.get('timeouts') ?? {})
  }
}
