/**
 * Reads a complete configuration from the store.
 */
import type { ObjectStore } from '../../objectApi/types.js'
import { HEAD_KEY, scopeKey } from '../../ticket/constants.js'
import { headSchema, type Head } from '../../ticket/types.js'
import { buildConfiguration, EMPTY_HEAD } from '../buildConfiguration/index.js'
import type { Configuration } from '../types.js'

/** A configuration with the version of the stored head. */
export type LoadResult =
  | { kind: 'loaded', configuration: Configuration, headVersion: number | 'absent' }
  | { kind: 'unavailable', cause: string }

/**
 * @name loadConfiguration
 * @summary Loads the configuration that the stored head refers to.
 * @param store - The object API.
 * @param options - `cached`, a configuration whose values need not be read again.
 * @returns The configuration; empty if nothing has been stored yet.
 *
 * @example
 * const result = await loadConfiguration(store, { cached: holder.current() })
 */
export async function loadConfiguration (store: ObjectStore, options: { cached?: Configuration } = {}): Promise<LoadResult> {
  const read = await store.read(HEAD_KEY)
  if (read.kind === 'unavailable') return read
  if (read.kind === 'absent') {
    return { kind: 'loaded', configuration: buildConfiguration(EMPTY_HEAD, new Map()), headVersion: 'absent' }
  }
  const head = headSchema.parse(read.object.value)
  const values = await loadValues(store, head, options.cached)
  if (values.kind === 'unavailable') return values
  return { kind: 'loaded', configuration: buildConfiguration(head, values.values), headVersion: read.object.version }
}

async function loadValues (store: ObjectStore, head: Head, cached?: Configuration): Promise<{ kind: 'values', values: Map<string, unknown> } | { kind: 'unavailable', cause: string }> {
  const values = new Map<string, unknown>()
  for (const [scope, ticket] of Object.entries(head.scopes)) {
    if (cached?.head.scopes[scope] === ticket) {
      values.set(scope, cached.values.get(scope))
      continue
    }
    const read = await store.read(scopeKey(scope, ticket))
    if (read.kind === 'unavailable') return read
    if (read.kind === 'absent') return { kind: 'unavailable', cause: `the value of ${scope} at ticket ${ticket} is missing` }
    values.set(scope, read.object.value)
  }
  return { kind: 'values', values }
}
