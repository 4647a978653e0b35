/**
 * The configuration that a ticket is applied to: the stored one, or the one in force on this
 * host where the store was restored to an older state.
 */
import { loadConfiguration } from '../../../configuration/loadConfiguration/index.js'
import { forgetNotes, restoreValues } from '../../../configuration/restoreConfiguration/index.js'
import type { Configuration } from '../../../configuration/types.js'
import type { Submission } from './submission.js'

/** What the head is moved from. */
export interface Base {
  kind: 'base'
  configuration: Configuration
  headVersion: number | 'absent'
  /** Whether the store was behind what is in force. */
  restored: boolean
}

/** Loads the base; `behind` where another member reports a higher revision than both. */
export async function loadBase ({ options, pause }: Submission): Promise<Base | { kind: 'unavailable', cause: string } | { kind: 'behind' }> {
  const { store, log } = options
  const known = options.configurationInForce?.()
  const loaded = await loadConfiguration(store, known === undefined ? {} : { known })
  if (loaded.kind === 'unavailable') return loaded
  const { configuration, headVersion } = loaded
  const { revision } = configuration.head
  const restored = known !== undefined && known.head.revision > revision
  const base = restored ? known : configuration
  if ((options.highestRevision?.() ?? 0) > base.head.revision) return { kind: 'behind' }
  if (!restored) return { kind: 'base', configuration, headVersion, restored }
  log.emit('storeBehind', { revision, inForce: known.head.revision })
  const values = await restoreValues(known, { store, stored: configuration, pause })
  return values.kind === 'unavailable' ? values : { kind: 'base', configuration: { ...known, head: forgetNotes(known.head) }, headVersion, restored }
}
