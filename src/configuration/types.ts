/**
 * The configuration in force on a host: the stored head, the values of its scopes and the lookup
 * tables built from them.
 */
import type { Stream } from 'most'
import type { Account, Head, ModelScope, ServiceScope, Target, TimeoutsScope } from '../ticket/types.js'

/** A configuration; immutable. */
export interface Configuration {
  head: Head
  /** Value by scope, as written in the tickets. */
  values: ReadonlyMap<string, unknown>
  models: ReadonlyMap<string, ModelScope>
  targets: ReadonlyMap<string, Target>
  accounts: ReadonlyMap<string, Account>
  services: ReadonlyMap<string, ServiceScope>
  timeouts: TimeoutsScope
}

/** Where a configuration came from. */
export type ConfigurationSource = 'store' | 'peer'

/** Holds the configuration in force, whose revision never decreases. */
export interface ConfigurationHolder {
  /** The configuration in force; revision 0 and empty before the first one. */
  current: () => Configuration
  /** Whether a configuration was received from the store or a peer. */
  isReady: () => boolean
  /**
   * Puts a configuration into force if its revision is higher, and returns whether it did. An equal revision only
   * confirms the present configuration.
   */
  applyIfNewer: (configuration: Configuration, source: ConfigurationSource) => boolean
  /** Records that the store confirmed the present configuration as the newest one. */
  confirm: () => void
  /** Milliseconds since the store or a peer last confirmed it; infinite before that. */
  ageMs: () => number
  /** Milliseconds since the store last confirmed it; infinite before that. */
  storeAgeMs: () => number
  /** Emits each configuration when it comes into force. */
  changes: Stream<Configuration>
}
