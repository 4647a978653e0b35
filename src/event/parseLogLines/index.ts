/**
 * Parses events from the text of log files or of a log collector.
 */
import type { LoggedEvent } from '../types.js'

/** Events of a log, and the number of lines that contain a `{` but no valid event. */
export interface ParsedLog {
  events: LoggedEvent[]
  unreadableLines: number
}

/**
 * @name parseLogLines
 * @summary The events of a log.
 * @param text - Log lines; text before the JSON of a line, such as a collector adds, is skipped.
 * @returns The events in the order of their lines, and the number of unreadable lines.
 *
 * @example
 * const { events } = parseLogLines(await readFile('gateway.log', 'utf8'))
 */
export function parseLogLines (text: string): ParsedLog {
  const parsed = text.split('\n').map(parseLine)
  return {
    events: parsed.filter(event => typeof event === 'object'),
    unreadableLines: parsed.filter(event => event === 'unreadable').length
  }
}

/** `undefined` for a line without JSON. */
function parseLine (line: string): LoggedEvent | 'unreadable' | undefined {
  const start = line.indexOf('{')
  if (start < 0) return undefined
  try {
    const value: unknown = JSON.parse(line.slice(start))
    return isEvent(value) ? value : 'unreadable'
  } catch {
    return 'unreadable'
  }
}

function isEvent (value: unknown): value is LoggedEvent {
  return typeof value === 'object' && value !== null && 'wallMs' in value && 'name' in value
}
