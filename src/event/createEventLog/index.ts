/**
 * Numbered events, written by winston as one JSON line each and kept in a bounded buffer for
 * the operator port.
 */
import type { Writable } from 'node:stream'
import winston from 'winston'
import type { HybridClock } from '../../clock/types.js'
import { EVENTS, type EventName } from '../catalogue.js'
import type { EventLimiter } from '../createEventLimiter/index.js'
import type { EventFields, EventLog, LoggedEvent } from '../types.js'

/** How many events a process keeps in memory for the operator port. */
const RECENT_EVENTS = 20_000

/** Where and as whom a process logs. */
export interface EventLogOptions {
  host: string
  process: string
  clock: HybridClock
  /** Lowest level that is written; lower ones are neither written nor kept. */
  level?: string
  /** File to append to; standard output when absent. `null` writes nowhere. */
  file?: string | null
  /** Stream to write to in place of a file or standard output. */
  output?: Writable
  /** Drops events beyond a rate; all are written unless given. */
  limiter?: EventLimiter
  /** Events kept in memory for the operator port. */
  keptEvents?: number
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
  const { host, process, clock, limiter, keptEvents = RECENT_EVENTS } = options
  const logger = createLogger(options)
  const kept: LoggedEvent[] = []

  function write (name: EventName, fields: EventFields): void {
    const definition = EVENTS[name]
    const stamp = clock.tick()
    const event: LoggedEvent = {
      ...fields, ...definition, name, host, process, wallMs: stamp.wallMs, counter: stamp.counter
    }
    kept.push(event)
    if (kept.length > keptEvents) kept.splice(0, kept.length - Math.floor(keptEvents / 2))
    logger.log({ message: name, ...event })
  }

  return {
    emit (name: EventName, fields: EventFields = {}) {
      if (!logger.isLevelEnabled(EVENTS[name].level)) return
      const dropped = limiter?.takeDropped()
      if (dropped !== undefined) write('eventsDropped', { dropped })
      if (limiter?.admits(name) ?? true) write(name, fields)
    },
    recent: () => kept
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
