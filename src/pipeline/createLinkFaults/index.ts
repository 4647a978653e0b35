/**
 * Recently lost links between stages, shared by the answers of one entry. The targets at both ends
 * of a lost link still respond, so they are not suspected: they are only chosen last.
 */
import type { Runtime } from '../../runtime/types.js'
import type { Placement } from '../../ticket/types.js'

/** How long the ends of a lost link are chosen last, in milliseconds. */
const LINK_FAULT_MS = 2_000

/** Recently lost links. */
export interface LinkFaults {
  /** Records that activations sent over a link did not arrive. */
  note: (link: { from: string, to: string }) => void
  /** Candidates that are not at either end of a lost link, or all candidates where none remain. */
  preferHealthy: (candidates: readonly Placement[]) => readonly Placement[]
}

/**
 * @name createLinkFaults
 * @summary Creates an empty record of lost links.
 * @param options - The runtime.
 * @returns The record; a link expires by itself after two seconds.
 *
 * @example
 * const linkFaults = createLinkFaults({ runtime })
 * linkFaults.note({ from: 'engine-1', to: 'engine-2' })
 */
export function createLinkFaults ({ runtime }: { runtime: Runtime }): LinkFaults {
  const expiresAtMs = new Map<string, number>()

  function isHealthy (target: string): boolean {
    const targetExpiresAtMs = expiresAtMs.get(target)
    if (targetExpiresAtMs === undefined) return true
    if (targetExpiresAtMs > runtime.monotonicMs()) return false
    expiresAtMs.delete(target)
    return true
  }

  return {
    note (link) {
      for (const target of [link.from, link.to]) expiresAtMs.set(target, runtime.monotonicMs() + LINK_FAULT_MS)
    },
    preferHealthy (candidates) {
      const healthy = candidates.filter(candidate => isHealthy(candidate.target))
      return healthy.length > 0 ? healthy : candidates
    }
  }
}
