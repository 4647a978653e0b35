/**
 * Events of log text, as files or a collector hold it.
 */
import type { LoggedEvent } from '../types.js'

/** Events of a text, and the number of lines with JSON that is no event. */
export interface ParsedLog {
  events: LoggedEvent[]
  unreadLines: number
}

/**
 * @name parseLogLines
 * @summary The events of a log.
 * @param text - Lines; text before the JSON of a line, such as a collector adds, is passed over.
 * @returns The events in the order of the lines.
 *
 * @example
 * const { events } = parseLogLines(await readFile('gateway.log', 'utf8'))
 */
export function parseLogLines (text: string): ParsedLog {
  const parsed = text.split('\n').map(parseLine)
  return {
    events: parsed.filter(event => typeof event === 'object'),
    unreadLines: parsed.filter(event => event === 'unread').length
  }
}

/** `undefined` for a line without JSON. */
function parseLine (line: string): LoggedEvent | 'unread' | undefined {
  const start = line.indexOf('{')
  if (start < 0) return undefined
  try {
    const value: unknown = JSON.parse(line.slice(start))
    return isEvent(value) ? value : 'unread'
  } catch {
    return 'unread'
  }
}

function isEvent (value: unknown): value is LoggedEvent {
  return typeof value === 'object' && value !== null && 'wallMs' in value && 'name' in value
}
