/**
 * Header with which a peer names the target that leaves, so that it opens no connection to it. An
 * address alone does not tell which start of a target the peer speaks of.
 */
import type { Target } from '../../fleet/types.js'

/** Name of the header, in lower case. */
export const LEAVING_HEADER = 'target-leaving'

/** One start of a target. */
export type TargetInstance = Pick<Target, 'id' | 'bornMs'>

/** Value of the header. */
export function formatLeaving ({ id, bornMs }: TargetInstance): string {
  return `${bornMs}:${encodeURIComponent(id)}`
}

/** The target that a peer named; `undefined` if the value cannot be read. */
export function parseLeaving (value: string): TargetInstance | undefined {
  const [, born, id] = /^(\d+(?:\.\d+)?):([\w.!~*'()%-]+)$/.exec(value) ?? []
  if (born === undefined || id === undefined) return undefined
  try {
    return { id: decodeURIComponent(id), bornMs: Number(born) }
  } catch {
    // Not encoded as a peer does; the caller takes the peer for one that cannot help.
    return undefined
  }
}
