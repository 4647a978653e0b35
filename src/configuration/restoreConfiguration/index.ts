/**
 * Mending a store that was restored to an older state than what is in force.
 */
import { randomUUID } from 'node:crypto'
import { ensureObject } from '../../objectApi/ensureObject/index.js'
import type { ObjectStore } from '../../objectApi/types.js'
import { HEAD_KEY, scopeKey } from '../../ticket/constants.js'
import type { Head } from '../../ticket/types.js'
import type { Configuration } from '../types.js'

/** What the mending works with. */
export interface RestoreOptions {
  store: ObjectStore
  /** The configuration that the store has now; values that both name are not written. */
  stored: Configuration
  pause: (attempt: number) => Promise<void>
}

type Restored = { kind: 'restored' } | { kind: 'unavailable', cause: string }

/**
 * @name restoreConfiguration
 * @summary Writes the configuration in force back to a store whose head is behind it.
 * @description The head is written under the version that was read, so that of several hosts
 * one succeeds and the others read again.
 * @param inForce - What is in force on this host.
 * @param options - The store, the wait between tries, and the version of the stored head.
 * @returns Whether the store now has it; `unavailable` where the next read must tell.
 *
 * @example
 * await restoreConfiguration(holder.current(), { store, stored, pause, headVersion })
 */
export async function restoreConfiguration (
  inForce: Configuration,
  options: RestoreOptions & { headVersion: number | 'absent' }
): Promise<Restored> {
  const values = await restoreValues(inForce, options)
  if (values.kind === 'unavailable') return values
  const condition = options.headVersion === 'absent' ? { ifAbsent: true as const } : { ifVersion: options.headVersion }
  const written = await options.store.write(HEAD_KEY, { ...clearNotedFlags(inForce.head), nonce: randomUUID() }, condition)
  if (written.kind === 'written') return { kind: 'restored' }
  return { kind: 'unavailable', cause: written.kind === 'conflict' ? 'the head moved' : written.cause }
}

/**
 * @name restoreValues
 * @summary Writes back the values that a configuration's head names, where they are missing.
 * @param inForce - The configuration.
 * @param options - The store and the wait between tries.
 * @returns Whether all of them are stored.
 *
 * @example
 * await restoreValues(holder.current(), { store, stored, pause })
 */
export async function restoreValues (inForce: Configuration, options: RestoreOptions): Promise<Restored> {
  for (const [scope, ticket] of Object.entries(inForce.head.scopes)) {
    if (options.stored.head.scopes[scope] === ticket) continue
    const result = await ensureObject(scopeKey(scope, ticket), inForce.values.get(scope), options)
    if (result.kind === 'notApplied' || result.kind === 'unsettled') return { kind: 'unavailable', cause: result.cause }
  }
  return { kind: 'restored' }
}

/**
 * @name clearNotedFlags
 * @summary A head whose accepted tickets count as not noted in their records.
 * @description After a restore the records may have lost their notes; later submissions write them again.
 * @param head - The head in force.
 * @returns The head to write.
 *
 * @example
 * const next = clearNotedFlags(holder.current().head)
 */
export function clearNotedFlags (head: Head): Head {
  if (head.accepted === undefined) return head
  return { ...head, accepted: head.accepted.map(({ ticket, revision, digest }) => ({ ticket, revision, digest })) }
}
