/**
 * Reads a log of which every line counts. Figures over requests would be wrong in silence where
 * lines are cut or come from another version, so each such line is named instead of skipped.
 */
import { z } from 'zod'
import { EVENTS } from '../catalogue.js'
import type { LoggedEvent } from '../types.js'

/** A line that cannot be counted. */
export interface LogFault {
  /** From 1. */
  line: number
  problem: string
}

/** Events of a log, and the lines that cannot be counted. */
export interface WholeLog {
  events: LoggedEvent[]
  faults: LogFault[]
}

/** Fields that a reader relies on, of the events that end a call. */
const FINAL_EVENT_SCHEMAS: Partial<Record<string, z.ZodObject>> = {
  gatewayAnswered: z.object({ route: z.string(), status: z.number(), tookMs: z.number() }),
  gatewayRefused: z.object({ reason: z.string() }),
  gatewayFailed: z.object({ reason: z.string() }),
  callerGone: z.object({ route: z.string(), tookMs: z.number() })
}

/**
 * @name readWholeLog
 * @summary The events of a log, with each line named that is cut or of another version.
 * @param text - Log lines; text before the JSON of a line, such as a collector adds, is skipped, and so are lines without JSON.
 * @returns Events and faults in the order of their lines.
 *
 * @example
 * const { events, faults } = readWholeLog(await readFile('gateway.log', 'utf8'))
 */
export function readWholeLog (text: string): WholeLog {
  const events: LoggedEvent[] = []
  const faults: LogFault[] = []
  text.split('\n').forEach((lineText, index) => {
    const start = lineText.indexOf('{')
    if (start < 0) return
    const event = parseEvent(lineText.slice(start))
    if (typeof event === 'string') faults.push({ line: index + 1, problem: event })
    else events.push(event)
  })
  return { events, faults }
}

/** The event, or what is wrong with its line. */
function parseEvent (json: string): LoggedEvent | string {
  let value: unknown
  try {
    value = JSON.parse(json)
  } catch {
    return 'ends in the middle of its JSON, or is none'
  }
  if (typeof value !== 'object' || value === null) return 'is not an event'
  const event = value as Partial<LoggedEvent>
  const { name, number } = event
  if (typeof name !== 'string' || typeof event.wallMs !== 'number' || typeof event.host !== 'string') return 'is not an event: it lacks name, host or wallMs'
  if (!(name in EVENTS)) return `is of another version: this one has no event ${name}`
  if (EVENTS[name].number !== number) return `is of another version: ${name} has number ${EVENTS[name].number} here, ${String(number)} there`
  const issue = FINAL_EVENT_SCHEMAS[name]?.safeParse(event).error?.issues[0]
  if (issue !== undefined) return `is of another version: field ${issue.path.join('.')} of ${name}: ${issue.message}`
  return event as LoggedEvent
}
