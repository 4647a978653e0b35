/**
 * The time line: events of many processes in one causal order.
 */
import type { LoggedEvent } from '../types.js'

/**
 * @name mergeTimeline
 * @summary Merges events by their hybrid logical clock stamps.
 * @param events - Events of any processes, in any order; copies of one event count once.
 * @param options - `filter`, fields that an event must have with these values.
 * @returns A new list, earliest first.
 *
 * @example
 * mergeTimeline(events, { filter: { request: id } })
 */
export function mergeTimeline (events: readonly LoggedEvent[], options: { filter?: Record<string, string> } = {}): LoggedEvent[] {
  const wanted = Object.entries(options.filter ?? {})
  const unique = new Map(events.map(event => [`${event.host}/${event.process}/${event.wallMs}/${event.counter}`, event]))
  return [...unique.values()]
    .filter(event => wanted.every(([field, value]) => String(event[field]) === value))
    .sort(compareEvents)
}

function compareEvents (a: LoggedEvent, b: LoggedEvent): number {
  if (a.wallMs !== b.wallMs) return a.wallMs - b.wallMs
  if (a.counter !== b.counter) return a.counter - b.counter
  return `${a.host}/${a.process}` < `${b.host}/${b.process}` ? -1 : 1
}
