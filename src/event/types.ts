/**
 * What a logged event looks like, in a log file, on the operator port and in the time line.
 */
import type { EventName } from './catalogue.js'

/** Identities that the time line filters by. All optional. */
export interface EventFields {
  request?: string
  ticket?: number
  target?: string
  account?: string
  [field: string]: unknown
}

/** One event as it is stored and merged. */
export interface LoggedEvent extends EventFields {
  number: number
  name: EventName
  text: string
  level: string
  host: string
  process: string
  /** Hybrid logical clock: wall part in milliseconds. */
  wallMs: number
  /** Hybrid logical clock: counter. */
  counter: number
}

/** Writes events and keeps the most recent ones for the operator port. */
export interface EventLog {
  emit: (name: EventName, fields?: EventFields) => void
  /** Recent events, oldest first. */
  recent: () => readonly LoggedEvent[]
}
