/**
 * Refusals as they are recorded for `explain`. A record holds the facts at the time of the refusal;
 * they are never computed again later.
 */
import { z } from 'zod'
import type { Refusal } from '../verdict/types.js'

/** Schema of one recorded refusal. */
export const refusalRecordSchema = z.looseObject({
  /** `<host>.<start of the process>.<batch>.<refusal>`, the last three in base 36. */
  id: z.string(),
  reason: z.string(),
  reasonNumber: z.int(),
  title: z.string(),
  verdict: z.unknown(),
  facts: z.record(z.string(), z.unknown()),
  /** Host and role of the process that refused. */
  host: z.string(),
  /** Wall-clock time of the refusal, in milliseconds. */
  refusedMs: z.number()
})

/** One recorded refusal. */
export type RefusalRecord = z.infer<typeof refusalRecordSchema>

/** Number of refusals of one reason and account that were dropped because the batch was full. */
export const droppedGroupSchema = z.strictObject({ reason: z.string(), account: z.string(), count: z.int().positive() })

/** Schema of a batch as it is stored. */
export const refusalBatchSchema = z.strictObject({
  host: z.string(),
  /** Wall-clock time at which the batch was closed, in milliseconds. */
  closedMs: z.number(),
  refusals: z.array(refusalRecordSchema),
  dropped: z.array(droppedGroupSchema)
})

/** A batch as it is stored. */
export type RefusalBatch = z.infer<typeof refusalBatchSchema>

/** Prefix of the keys of stored batches. */
export const REFUSAL_PREFIX = 'refusals/'

/** Records refusals for `explain`. */
export interface RefusalRegistry {
  /** Records a refusal with the context of its request, and returns it with the id by which any host finds it. */
  add: (refusal: Refusal, context: Record<string, unknown>) => Refusal
  /** Finds a refusal that this process still holds in memory. */
  find: (id: string) => RefusalRecord | undefined
}

/** Where a refusal was recorded. */
export interface RefusalLocation {
  /** Host and role of the process that refused. */
  host: string
  /** Key of the batch in the object API. */
  key: string
}

/** Derives the location from the id of a refusal; `undefined` for an id of another form. */
export function parseRefusalId (id: string): RefusalLocation | undefined {
  const parts = /^(.+)\.([0-9a-z]+)\.([0-9a-z]+)\.[0-9a-z]+$/.exec(id)
  if (parts === null) return undefined
  const [, host = '', start = '', batch = ''] = parts
  return { host, key: `${REFUSAL_PREFIX}${host}/${start}/${batch}` }
}
