/**
 * Lookup of a refusal for `explain`: first in the memory of this process, then in the object API,
 * then on the host that refused, if it is still running.
 */
import type { ObjectStore } from '../../objectApi/types.js'
import { refusalBatchSchema, parseRefusalId, type RefusalBatch, type RefusalRegistry, type RefusalRecord } from '../types.js'

/** Result of a lookup. */
export type FindRefusalResult =
  | { kind: 'found', refusal: RefusalRecord }
  /** The batch is stored without the refusal; `dropped` counts the refusals that were dropped from it. */
  | { kind: 'dropped', dropped: RefusalBatch['dropped'] }
  /** The id has another form, or no record of it was found. */
  | { kind: 'unknown' }
  /** The object API did not answer and the host did not know the refusal. */
  | { kind: 'unavailable', cause: string }

/** Where to look for a refusal. */
export interface FindRefusalOptions {
  refusals: RefusalRegistry
  store: ObjectStore
  /** Asks the host that refused; `undefined` if it does not answer or does not know the refusal. */
  askHost: (host: string) => Promise<RefusalRecord | undefined>
}

/**
 * @name findRefusal
 * @summary Finds a refusal by its id, on any host.
 * @param id - Id of the refusal.
 * @param options - Refusals of this process, store, and how to ask another host.
 * @returns The refusal with its facts, or why there is none.
 *
 * @example
 * const found = await findRefusal(id, { refusals, store, askHost })
 */
export async function findRefusal (id: string, options: FindRefusalOptions): Promise<FindRefusalResult> {
  const { refusals, store, askHost } = options
  const inMemory = refusals.find(id)
  if (inMemory !== undefined) return { kind: 'found', refusal: inMemory }
  const location = parseRefusalId(id)
  if (location === undefined) return { kind: 'unknown' }
  const read = await store.read(location.key)
  const parsed = read.kind === 'found' ? refusalBatchSchema.safeParse(read.object.value) : undefined
  const stored = parsed?.data?.refusals.find(refusal => refusal.id === id)
  if (stored !== undefined) return { kind: 'found', refusal: stored }
  const fromHost = await askHost(location.host)
  if (fromHost !== undefined) return { kind: 'found', refusal: fromHost }
  if (parsed?.success) return { kind: 'dropped', dropped: parsed.data.dropped }
  return read.kind === 'unavailable' ? read : { kind: 'unknown' }
}
