/**
 * Formats the fields that are specific to one kind of event.
 */
import type { LoggedEvent } from '../types.js'

/** Fields that every event has; winston stores `name` as `message`. */
const COMMON_FIELDS = new Set(['number', 'name', 'text', 'level', 'host', 'process', 'wallMs', 'counter', 'message'])

/**
 * @name describeFields
 * @summary The fields of an event other than those that every event has, as text.
 * @param event - The event.
 * @returns `field=value` for each, separated by spaces.
 *
 * @example
 * describeFields(event) // 'request=7 tokens=12'
 */
export function describeFields (event: LoggedEvent): string {
  return Object.entries(event)
    .filter(([field]) => !COMMON_FIELDS.has(field))
    .map(([field, value]) => `${field}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
    .join(' ')
}
