/**
 * Loads the configuration that a ticket is applied to: the stored one or, if the store was restored
 * to an older state, the one in force on this host.
 */
import { loadConfiguration } from '../../../configuration/loadConfiguration/index.js'
import { clearNotedFlags, restoreValues } from '../../../configuration/restoreConfiguration/index.js'
import type { Configuration } from '../../../configuration/types.js'
import type { Submission } from './submission.js'

/** The configuration that a ticket is applied to, with the version of the stored head. */
export interface BaseConfiguration {
  kind: 'base'
  configuration: Configuration
  headVersion: number | 'absent'
  /** Whether the stored head has a lower revision than the configuration in force on this host. */
  restored: boolean
}

/** Loads the base; `behind` if a member reports a higher revision than the store and this host have. */
export async function loadBase ({ options, pause }: Submission): Promise<BaseConfiguration | { kind: 'unavailable', cause: string } | { kind: 'behind' }> {
  const { store, log } = options
  const inForce = options.configurationInForce?.()
  const loaded = await loadConfiguration(store, inForce === undefined ? {} : { cached: inForce })
  if (loaded.kind === 'unavailable') return loaded
  const { configuration, headVersion } = loaded
  const { revision } = configuration.head
  const restored = inForce !== undefined && inForce.head.revision > revision
  const base = restored ? inForce : configuration
  if ((options.highestRevision?.() ?? 0) > base.head.revision) return { kind: 'behind' }
  if (!restored) return { kind: 'base', configuration, headVersion, restored }
  log.emit('storeBehind', { revision, inForce: inForce.head.revision })
  const values = await restoreValues(inForce, { store, stored: configuration, pause })
  return values.kind === 'unavailable' ? values : { kind: 'base', configuration: { ...inForce, head: clearNotedFlags(inForce.head) }, headVersion, restored }
}
