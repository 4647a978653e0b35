/**
 * Holds the configuration in force in a daemon. Every new configuration comes into force here.
 */
import type { EventLog } from '../../event/types.js'
import type { Runtime } from '../../runtime/types.js'
import { createSubject } from '../../stream/createSubject/index.js'
import { buildConfiguration, EMPTY_HEAD } from '../buildConfiguration/index.js'
import type { Configuration, ConfigurationHolder, ConfigurationSource } from '../types.js'

/**
 * @name createConfigurationHolder
 * @summary Creates a holder that accepts only configurations with a higher revision.
 * @param options - The runtime and the event log.
 * @returns The holder, with an empty configuration and not ready.
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
  const elapsedSince = (sinceMs: number | undefined): number => sinceMs === undefined ? Infinity : runtime.monotonicMs() - sinceMs

  function recordConfirmation (source: ConfigurationSource): void {
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
      recordConfirmation(source)
      if (revision === current.head.revision) return false
      current = configuration
      log.emit('revisionInForce', { revision, source, ...(configuration.head.ticket ? { ticket: configuration.head.ticket } : {}) })
      changes.next(configuration)
      return true
    },
    confirm: () => recordConfirmation('store'),
    ageMs: () => elapsedSince(confirmedMs),
    storeAgeMs: () => elapsedSince(storeConfirmedMs),
    changes: changes.stream
  }
}
