/**
 * Decides whether this host has lost its links to targets. It is meant for the load pattern in which
 * a host is cut off from all targets while clients, the store and the other hosts still reach it:
 * every connect fails, and taken by itself each looks like a failure of the target.
 *
 * A connect that fails while a peer reaches the same target speaks for the link of this host. Two
 * such targets, and no successful connect in between, show that the host is cut off; one shows only
 * that its link to this target is lost.
 */
import type { Runtime } from '../../runtime/types.js'

/** What this host knows of its own links. */
export interface LinkState {
  /** Records that this host connected to a target itself. */
  noteConnected: (address: string) => void
  /** Records that a peer reached a target to which this host could not connect. */
  noteContradicted: (address: string) => void
  /** Whether connections to a target are to go through a peer at once. */
  isRelayed: (address: string) => boolean
  /** Whether a connect that began at a monotonic time in milliseconds, and failed, may be due to this host's own links: none has succeeded since. */
  isInDoubt: (beganMs: number) => boolean
  /** Whether the host reaches no target itself. */
  isCutOff: () => boolean
}

interface LinkStateOptions {
  runtime: Runtime
  /** Called when the host finds that it is cut off, with the targets that only a peer reached, and when it no longer is. */
  onChange: (isCutOff: boolean, addresses: string[]) => void
}

/** Targets that only peers reach, from which the host counts as cut off. */
const MIN_CONTRADICTED = 2

/** Time for which the connections to one target go through peers before this host tries its own link again, in milliseconds. */
const LINK_RETRY_MS = 1_000

/** Time for which a contradiction counts, in milliseconds; each connection through a peer renews it. */
const CONTRADICTION_VALID_MS = 10_000

/**
 * @name createLinkState
 * @summary Creates the state of links that are taken for sound.
 * @param options - Runtime, and a callback for changes.
 * @returns The state.
 *
 * @example
 * if (links.isRelayed(target.address)) return await connectThroughPeer(target.address)
 */
export function createLinkState ({ runtime, onChange }: LinkStateOptions): LinkState {
  /** When each target was last reached by a peer only, and when this first became known, in monotonic milliseconds. */
  const contradictions = new Map<string, { atMs: number, sinceMs: number }>()
  let connectedMs = -Infinity
  let wasCutOff = false

  const isValid = ({ atMs }: { atMs: number }): boolean => atMs > connectedMs && runtime.monotonicMs() - atMs < CONTRADICTION_VALID_MS
  const isCutOff = (): boolean => [...contradictions.values()].filter(isValid).length >= MIN_CONTRADICTED

  function reportChange (): void {
    if (isCutOff() === wasCutOff) return
    wasCutOff = !wasCutOff
    onChange(wasCutOff, [...contradictions].filter(([, contradiction]) => isValid(contradiction)).map(([address]) => address))
  }

  return {
    noteConnected (address) {
      connectedMs = runtime.monotonicMs()
      contradictions.delete(address)
      reportChange()
    },
    noteContradicted (address) {
      const nowMs = runtime.monotonicMs()
      for (const [known, { atMs }] of contradictions) if (nowMs - atMs >= CONTRADICTION_VALID_MS) contradictions.delete(known)
      const known = contradictions.get(address)
      const isRenewed = known !== undefined && (isCutOff() || nowMs - known.sinceMs < LINK_RETRY_MS)
      contradictions.set(address, { atMs: nowMs, sinceMs: isRenewed ? known.sinceMs : nowMs })
      reportChange()
    },
    isRelayed: address => isCutOff() || runtime.monotonicMs() - (contradictions.get(address)?.sinceMs ?? -Infinity) < LINK_RETRY_MS,
    isInDoubt: beganMs => connectedMs <= beganMs,
    isCutOff
  }
}
