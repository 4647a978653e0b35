/**
 * Memory of the links between stages on which activations were lost, shared by the answers of one
 * entry. The targets at both ends answer, so they are not suspected: they are only chosen after others.
 */
import type { Runtime } from '../../runtime/types.js'
import type { Placement } from '../../ticket/types.js'

/** How long the ends of a lost link are chosen after others, in milliseconds. */
const REMEMBERED_MS = 2_000

/** Memory of lost links. */
export interface LinkFaults {
  note: (link: { from: string, to: string }) => void
  /** The candidates that are not at the end of a lost link, or all where there are no others. */
  prefer: (candidates: readonly Placement[]) => readonly Placement[]
}

/**
 * @name createLinkFaults
 * @summary An empty memory of lost links.
 * @param options - The runtime.
 * @returns The memory.
 *
 * @example
 * const linkFaults = createLinkFaults({ runtime })
 * linkFaults.note({ from: 'engine-1', to: 'engine-2' })
 */
export function createLinkFaults ({ runtime }: { runtime: Runtime }): LinkFaults {
  const untilMs = new Map<string, number>()

  function isSound (target: string): boolean {
    const until = untilMs.get(target)
    if (until === undefined) return true
    if (until > runtime.monotonicMs()) return false
    untilMs.delete(target)
    return true
  }

  return {
    note (link) {
      for (const target of [link.from, link.to]) untilMs.set(target, runtime.monotonicMs() + REMEMBERED_MS)
    },
    prefer (candidates) {
      const sound = candidates.filter(part => isSound(part.target))
      return sound.length > 0 ? sound : candidates
    }
  }
}
