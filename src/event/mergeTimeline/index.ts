/**
 * Merges the events of many processes into one timeline in causal order.
 */
import type { LoggedEvent } from '../types.js'

/**
 * @name mergeTimeline
 * @summary Merges events by their hybrid logical clock stamps.
 * @param events - Events of any processes, in any order; duplicates of an event are removed.
 * @param options - `filter`, the values that these fields of an event must have.
 * @returns A new list, earliest first.
 *
 * @example
 * mergeTimeline(events, { filter: { request: id } })
 */
export function mergeTimeline (events: readonly LoggedEvent[], options: { filter?: Record<string, string> } = {}): LoggedEvent[] {
  const conditions = Object.entries(options.filter ?? {})
  const uniqueEvents = new Map(events.map(event => [`${event.host}/${event.process}/${event.wallMs}/${event.counter}`, event]))
  return [...uniqueEvents.values()]
    .filter(event => conditions.every(([field, value]) => String(event[field]) === value))
    .sort(compareEvents)
}

function compareEvents (a: LoggedEvent, b: LoggedEvent): number {
  if (a.wallMs !== b.wallMs) return a.wallMs - b.wallMs
  if (a.counter !== b.counter) return a.counter - b.counter
  return `${a.host}/${a.process}` < `${b.host}/${b.process}` ? -1 : 1
}
