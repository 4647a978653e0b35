/**
 * The `id` of the events of a streamed answer, which a caller sends back as `Last-Event-ID`.
 */
import { z } from 'zod'

/** Where a caller's copy of an answer ends. */
export interface LastEventId {
  request: string
  attempt: number
  position: number
}

const lastEventIdSchema = z.tuple([z.uuid(), z.coerce.number().int().positive(), z.coerce.number().int().min(0)])

/**
 * @name parseLastEventId
 * @summary Reads `request:attempt:position`.
 * @param text - Value of the header.
 * @returns Its parts, or nothing where it is none of ours.
 *
 * @example
 * parseLastEventId('4f9c8a52-3c1e-4e0b-9d53-0a4f7d0c6b11:1:7')
 */
export function parseLastEventId (text: string): LastEventId | undefined {
  const checked = lastEventIdSchema.safeParse(text.split(':'))
  if (!checked.success) return undefined
  const [request, attempt, position] = checked.data
  return { request, attempt, position }
}

/**
 * @name formatEventId
 * @summary The `id` of one event.
 * @param id - Request, attempt and position of its token.
 * @returns `request:attempt:position`.
 *
 * @example
 * formatEventId({ request, attempt: 1, position: 7 })
 */
export function formatEventId ({ request, attempt, position }: LastEventId): string {
  return `${request}:${attempt}:${position}`
}
