/**
 * The one place of a daemon where a configuration comes into force.
 */
import type { EventLog } from '../../event/types.js'
import type { Runtime } from '../../runtime/types.js'
import { createSubject } from '../../stream/createSubject/index.js'
import { buildConfiguration, EMPTY_HEAD } from '../buildConfiguration/index.js'
import type { Configuration, ConfigurationHolder, ConfigurationSource } from '../types.js'

/**
 * @name createConfigurationHolder
 * @summary A holder that only moves to higher revisions.
 * @param options - The runtime and the event log.
 * @returns The holder, empty and not ready.
 *
 * @example
 * const holder = createConfigurationHolder({ runtime, log })
 * holder.applyIfNewer(configuration, 'store')
 */
export function createConfigurationHolder (options: { runtime: Runtime, log: EventLog }): ConfigurationHolder {
  const { runtime, log } = options
  const changes = createSubject<Configuration>()
  let current = buildConfiguration(EMPTY_HEAD, new Map())
  let confirmedMs: number | undefined
  let storeConfirmedMs: number | undefined
  const ageOf = (sinceMs: number | undefined): number => sinceMs === undefined ? Infinity : runtime.monotonicMs() - sinceMs

  function confirm (source: ConfigurationSource): void {
    confirmedMs = runtime.monotonicMs()
    if (source === 'store') storeConfirmedMs = confirmedMs
  }

  return {
    current: () => current,
    isReady: () => confirmedMs !== undefined,
    applyIfNewer (configuration, source) {
      const { revision } = configuration.head
      if (revision < current.head.revision) {
        log.emit('revisionIgnored', { revision, inForce: current.head.revision, source })
        return false
      }
      confirm(source)
      if (revision === current.head.revision) return false
      current = configuration
      log.emit('revisionInForce', { revision, source, ...(configuration.head.ticket ? { ticket: configuration.head.ticket } : {}) })
      changes.next(configuration)
      return true
    },
    confirm: () => confirm('store'),
    ageMs: () => ageOf(confirmedMs),
    storeAgeMs: () => ageOf(storeConfirmedMs),
    changes: changes.stream
  }
}
