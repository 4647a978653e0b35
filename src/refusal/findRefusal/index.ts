/**
 * The look-up behind `explain`: own memory, then the object API, then the host that gave the
 * refusal, while it lives.
 */
import type { ObjectStore } from '../../objectApi/types.js'
import { refusalBatchSchema, parseRefusalId, type RefusalBatch, type RefusalRegistry, type RefusalRecord } from '../types.js'

/** What was found of an identity. */
export type FoundRefusal =
  | { kind: 'found', refusal: RefusalRecord }
  /** The batch is there and had no room for it. */
  | { kind: 'dropped', dropped: RefusalBatch['dropped'] }
  | { kind: 'unknown' }
  | { kind: 'unavailable', cause: string }

/** Where a refusal is looked for. */
export interface FindRefusalOptions {
  refusals: RefusalRegistry
  store: ObjectStore
  /** Asks the host that gave it; nothing when it is gone or does not know. */
  askHost: (host: string) => Promise<RefusalRecord | undefined>
}

/**
 * @name findRefusal
 * @summary Finds a refusal by its identity, from any host.
 * @param id - The identity.
 * @param options - Memory, store and the question to its host.
 * @returns The refusal with its facts, or why there is none.
 *
 * @example
 * const found = await findRefusal(id, { refusals, store, askHost })
 */
export async function findRefusal (id: string, options: FindRefusalOptions): Promise<FoundRefusal> {
  const { refusals, store, askHost } = options
  const own = refusals.find(id)
  if (own !== undefined) return { kind: 'found', refusal: own }
  const place = parseRefusalId(id)
  if (place === undefined) return { kind: 'unknown' }
  const read = await store.read(place.key)
  const checked = read.kind === 'found' ? refusalBatchSchema.safeParse(read.object.value) : undefined
  const stored = checked?.data?.refusals.find(refusal => refusal.id === id)
  if (stored !== undefined) return { kind: 'found', refusal: stored }
  const asked = await askHost(place.host)
  if (asked !== undefined) return { kind: 'found', refusal: asked }
  if (checked?.success) return { kind: 'dropped', dropped: checked.data.dropped }
  return read.kind === 'unavailable' ? read : { kind: 'unknown' }
}
