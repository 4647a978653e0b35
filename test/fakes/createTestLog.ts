/**
 * An event log that keeps its events in memory.
 */
import { createHybridClock } from '../../src/clock/createHybridClock/index.js'
import { createEventLog } from '../../src/event/createEventLog/index.js'
import type { EventLog } from '../../src/event/types.js'

/** Creates a log of every level that writes to no file. */
export function createTestLog (options: { host?: string, nowMs?: () => number } = {}): EventLog {
  const { host = 'host-1', nowMs = () => 0 } = options
  return createEventLog({ host, process: 'test', clock: createHybridClock({ nowMs }), level: 'debug', file: null })
}
