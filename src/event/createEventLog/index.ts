/**
 * Writes numbered events with winston, one JSON line each, and keeps the most recent ones in memory
 * for the operator port.
 */
import type { Writable } from 'node:stream'
import winston from 'winston'
import type { HybridClock } from '../../clock/types.js'
import { EVENTS, type EventName } from '../catalogue.js'
import type { EventLimiter } from '../createEventLimiter/index.js'
import type { EventFields, EventLog, LoggedEvent } from '../types.js'

/** Default of `maxRecentEvents`. */
const DEFAULT_MAX_RECENT_EVENTS = 20_000

/** Identity of the logging process and where its lines are written. */
export interface EventLogOptions {
  host: string
  process: string
  clock: HybridClock
  /** Lowest level that is written; lower ones are neither written nor kept. */
  level?: string
  /** File to append to; standard output when absent. `null` writes nowhere. */
  file?: string | null
  /** Stream to write to instead of a file or standard output. */
  output?: Writable
  /** Drops events above a rate; without one, every event is written. */
  limiter?: EventLimiter
  /** Number of recent events to keep in memory for the operator port; the older half is dropped when it is exceeded. */
  maxRecentEvents?: number
}

/**
 * @name createEventLog
 * @summary An event log for one process.
 * @param options - Identity of the process, its clock, level and file.
 * @returns The log.
 *
 * @example
 * const log = createEventLog({ host: 'entry-1', process: 'entry', clock })
 * log.emit('processStarted', { address })
 */
export function createEventLog (options: EventLogOptions): EventLog {
  const { host, process, clock, limiter, maxRecentEvents = DEFAULT_MAX_RECENT_EVENTS } = options
  const logger = createLogger(options)
  const recentEvents: LoggedEvent[] = []

  function write (name: EventName, fields: EventFields): void {
    const definition = EVENTS[name]
    const timestamp = clock.tick()
    const event: LoggedEvent = {
      ...fields, ...definition, name, host, process, wallMs: timestamp.wallMs, counter: timestamp.counter
    }
    recentEvents.push(event)
    if (recentEvents.length > maxRecentEvents) recentEvents.splice(0, recentEvents.length - Math.floor(maxRecentEvents / 2))
    logger.log({ message: name, ...event })
  }

  return {
    emit (name: EventName, fields: EventFields = {}) {
      if (!logger.isLevelEnabled(EVENTS[name].level)) return
      const dropped = limiter?.takeDropped()
      if (dropped !== undefined) write('eventsDropped', { dropped })
      if (limiter?.admits(name) ?? true) write(name, fields)
    },
    recent: () => recentEvents
  }
}

function createLogger (options: EventLogOptions): winston.Logger {
  const { file, level = 'info' } = options
  const transport = createTransport(options)
  return winston.createLogger({
    level,
    silent: file === null,
    format: winston.format.json(),
    transports: [transport]
  })
}

function createTransport ({ file, output }: EventLogOptions): winston.transport {
  if (output !== undefined) return new winston.transports.Stream({ stream: output })
  return file ? new winston.transports.File({ filename: file }) : new winston.transports.Console()
}
