/**
 * The fields of an event that are its own, as text.
 */
import type { LoggedEvent } from '../types.js'

/** Fields that every event has; `message` is winston's name for `name`. */
const COMMON = new Set(['number', 'name', 'text', 'level', 'host', 'process', 'wallMs', 'counter', 'message'])

/**
 * @name describeFields
 * @summary The fields that only this kind of event has.
 * @param event - The event.
 * @returns `field=value` for each, with spaces between.
 *
 * @example
 * describeFields(event) // 'request=7 tokens=12'
 */
export function describeFields (event: LoggedEvent): string {
  return Object.entries(event)
    .filter(([field]) => !COMMON.has(field))
    .map(([field, value]) => `${field}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
    .join(' ')
}
