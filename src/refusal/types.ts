/**
 * Refusals as they are kept for `explain`: with the facts of the moment, never derived again.
 */
import { z } from 'zod'
import type { Refusal } from '../verdict/types.js'

/** One kept refusal. */
export const refusalRecordSchema = z.looseObject({
  id: z.string(),
  reason: z.string(),
  reasonNumber: z.int(),
  title: z.string(),
  verdict: z.unknown(),
  facts: z.record(z.string(), z.unknown()),
  host: z.string(),
  refusedMs: z.number()
})

/** One kept refusal. */
export type RefusalRecord = z.infer<typeof refusalRecordSchema>

/** Refusals of one reason and account that a batch had no room for. */
export const droppedGroupSchema = z.strictObject({ reason: z.string(), account: z.string(), count: z.int().positive() })

/** Stored value of one batch. */
export const refusalBatchSchema = z.strictObject({
  host: z.string(),
  closedMs: z.number(),
  refusals: z.array(refusalRecordSchema),
  dropped: z.array(droppedGroupSchema)
})

/** Stored value of one batch. */
export type RefusalBatch = z.infer<typeof refusalBatchSchema>

/** Prefix of the stored batches. */
export const REFUSAL_PREFIX = 'refusals/'

/** Keeps refusals for `explain`. */
export interface RefusalRegistry {
  /** Keeps a refusal and returns it with the identity under which any host finds it. */
  add: (refusal: Refusal, context: Record<string, unknown>) => Refusal
  /** A refusal that this process still holds in memory. */
  find: (id: string) => RefusalRecord | undefined
}

/** Where the refusal of an identity was given and stored. */
export interface RefusalPlace {
  host: string
  key: string
}

/** Reads the place out of an identity; nothing for an identity of another form. */
export function parseRefusalId (id: string): RefusalPlace | undefined {
  const parts = /^(.+)\.([0-9a-z]+)\.([0-9a-z]+)\.[0-9a-z]+$/.exec(id)
  if (parts === null) return undefined
  const [, host = '', start = '', batch = ''] = parts
  return { host, key: `${REFUSAL_PREFIX}${host}/${start}/${batch}` }
}
