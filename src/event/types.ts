/**
 * Logged events as they appear in log files, on the operator port and in the timeline.
 */
import type { EventName } from './catalogue.js'

/** Fields of an event; the named ones are those that the timeline can be filtered by, beside `host`. */
export interface EventFields {
  request?: string
  ticket?: number
  target?: string
  account?: string
  [field: string]: unknown
}

/** One event as it is logged and merged. */
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
