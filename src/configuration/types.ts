/**
 * The configuration in force on one host: the stored head, the values of its scopes and the
 * look-ups built from them.
 */
import type { Stream } from 'most'
import type { Account, Head, ModelScope, ServiceScope, Target, TimeoutsScope } from '../ticket/types.js'

/** One configuration, never changed after it is built. */
export interface Configuration {
  head: Head
  /** Values by scope, as the tickets gave them. */
  values: ReadonlyMap<string, unknown>
  models: ReadonlyMap<string, ModelScope>
  targets: ReadonlyMap<string, Target>
  accounts: ReadonlyMap<string, Account>
  services: ReadonlyMap<string, ServiceScope>
  timeouts: TimeoutsScope
}

/** Where a configuration was learnt. */
export type ConfigurationSource = 'store' | 'peer'

/** Keeps the configuration in force; its revision never falls. */
export interface ConfigurationHolder {
  /** The configuration in force; revision 0 and empty before the first one. */
  current: () => Configuration
  /** Whether a configuration was learnt from the store or a peer. */
  isReady: () => boolean
  /** Puts a configuration into force if its revision is higher. */
  applyIfNewer: (configuration: Configuration, source: ConfigurationSource) => boolean
  /** Marks that the present configuration was confirmed as current by the store. */
  confirm: () => void
  /** Milliseconds since the last confirmation. */
  ageMs: () => number
  /** Milliseconds since the store last confirmed it; infinite before that. */
  storeAgeMs: () => number
  /** Each configuration as it comes into force. */
  changes: Stream<Configuration>
}
