/**
 * Writes the configuration in force back to a store that was restored to an older state.
 */
import { randomUUID } from 'node:crypto'
import { ensureObject } from '../../objectApi/ensureObject/index.js'
import type { ObjectStore } from '../../objectApi/types.js'
import { HEAD_KEY, scopeKey } from '../../ticket/constants.js'
import type { Head } from '../../ticket/types.js'
import type { Configuration } from '../types.js'

/** The store to write to, and what it has now. */
export interface RestoreOptions {
  store: ObjectStore
  /** The configuration that the store has now; values that it has in common with the one in force are not written. */
  stored: Configuration
  /** Waits before the attempt with the given index. */
  pause: (attempt: number) => Promise<void>
}

type RestoreResult = { kind: 'restored' } | { kind: 'unavailable', cause: string }

/**
 * @name restoreConfiguration
 * @summary Writes the configuration in force back to a store whose head is behind it.
 * @description The head is written on condition of the version that was read, so that one of
 * several hosts succeeds and the others read the store again.
 * @param inForce - The configuration in force on this host.
 * @param options - The store, the wait between attempts, and the version of the stored head.
 * @returns `restored` if the store now has it; `unavailable` if the store has to be read again to know.
 *
 * @example
 * await restoreConfiguration(holder.current(), { store, stored, pause, headVersion })
 */
export async function restoreConfiguration (
  inForce: Configuration,
  options: RestoreOptions & { headVersion: number | 'absent' }
): Promise<RestoreResult> {
  const values = await restoreValues(inForce, options)
  if (values.kind === 'unavailable') return values
  const condition = options.headVersion === 'absent' ? { ifAbsent: true as const } : { ifVersion: options.headVersion }
  const written = await options.store.write(HEAD_KEY, { ...clearNotedFlags(inForce.head), nonce: randomUUID() }, condition)
  if (written.kind === 'written') return { kind: 'restored' }
  return { kind: 'unavailable', cause: written.kind === 'conflict' ? 'the head has changed' : written.cause }
}

/**
 * @name restoreValues
 * @summary Writes back the values of a configuration that the store lacks.
 * @param inForce - The configuration.
 * @param options - The store and the wait between attempts.
 * @returns `restored` if all values are stored.
 *
 * @example
 * await restoreValues(holder.current(), { store, stored, pause })
 */
export async function restoreValues (inForce: Configuration, options: RestoreOptions): Promise<RestoreResult> {
  for (const [scope, ticket] of Object.entries(inForce.head.scopes)) {
    if (options.stored.head.scopes[scope] === ticket) continue
    const result = await ensureObject(scopeKey(scope, ticket), inForce.values.get(scope), options)
    if (result.kind === 'notApplied' || result.kind === 'unsettled') return { kind: 'unavailable', cause: result.cause }
  }
  return { kind: 'restored' }
}

/**
 * @name clearNotedFlags
 * @summary Marks the accepted tickets of a head as not noted in their records.
 * @description A restore of the store may have removed the notes from the records; later submissions write them again.
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
