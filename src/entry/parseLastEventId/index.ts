/**
 * Event IDs of a streamed answer. A caller sends the last one back as `Last-Event-ID` to continue the answer.
 */
import { z } from 'zod'

/** Identifies one event of a streamed answer. */
export interface LastEventId {
  /** ID of the request, a UUID. */
  request: string
  /** Number of the attempt that computed the token, from 1. */
  attempt: number
  /** Position of the token in the answer, from 0. */
  position: number
}

const lastEventIdSchema = z.tuple([z.uuid(), z.coerce.number().int().positive(), z.coerce.number().int().min(0)])

/**
 * @name parseLastEventId
 * @summary Parses an event ID of the form `request:attempt:position`.
 * @param text - Value of the header.
 * @returns The parts, or `undefined` if the value has another form.
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
 * @summary Formats the `id` of one event.
 * @param id - Request, attempt and position of its token.
 * @returns `request:attempt:position`.
 *
 * @example
 * formatEventId({ request, attempt: 1, position: 7 })
 */
export function formatEventId ({ request, attempt, position }: LastEventId): string {
  return `${request}:${attempt}:${position}`
}
