/**
 * Decides which links to targets this host has lost. It is meant for the load pattern in which a host
 * is cut off from all or many targets while clients, the store and the other hosts still reach it:
 * every connect fails, and taken by itself each looks like a failure of the target.
 *
 * A connect that fails while a peer reaches the same target shows that this host's link to it is
 * lost, until a connect of its own succeeds. Two lost links make the host a bad judge of targets for
 * its peers; while nothing else was reached since, it takes the links to all targets for lost.
 */
import type { Runtime } from '../../runtime/types.js'

/** What this host knows of its own links. */
export interface LinkState {
  /** Records that this host connected to a target itself. */
  noteConnected: (address: string) => void
  /** Records that a peer reached a target to which this host could not connect. */
  noteLost: (address: string) => void
  /** Forgets links to targets that are not listed any more. */
  retain: (addresses: ReadonlySet<string>) => void
  /** Whether connections to a target are to go through a peer at once. */
  isLost: (address: string) => boolean
  /** Targets to which the link is known to be lost. */
  lostAddresses: () => string[]
  /** Whether a connect that began at a monotonic time in milliseconds, and failed, may be due to this host's own links: none has succeeded since. */
  isInDoubt: (beganMs: number) => boolean
  /** Whether the host has lost several links. */
  isImpaired: () => boolean
}

interface LinkStateOptions {
  runtime: Runtime
  /** Called when the host has lost several links, with their targets, and when it no longer has. */
  onChange: (isImpaired: boolean, addresses: string[]) => void
}

/** Lost links from which the host's other links are in question. */
const MIN_LOST = 2

/**
 * @name createLinkState
 * @summary Creates the state of links that are taken for sound.
 * @param options - Runtime, and a callback for changes.
 * @returns The state.
 *
 * @example
 * if (links.isLost(target.address)) return await connectThroughPeer(target.address)
 */
export function createLinkState ({ runtime, onChange }: LinkStateOptions): LinkState {
  /** When each lost link was last seen to be, in monotonic milliseconds. */
  const lostMs = new Map<string, number>()
  let connectedMs = -Infinity
  let wasImpaired = false

  const isImpaired = (): boolean => lostMs.size >= MIN_LOST
  const areAllLost = (): boolean => [...lostMs.values()].filter(atMs => atMs > connectedMs).length >= MIN_LOST

  function reportChange (): void {
    if (isImpaired() === wasImpaired) return
    wasImpaired = !wasImpaired
    onChange(wasImpaired, [...lostMs.keys()])
  }

  return {
    noteConnected (address) {
      connectedMs = runtime.monotonicMs()
      lostMs.delete(address)
      reportChange()
    },
    noteLost (address) {
      lostMs.set(address, runtime.monotonicMs())
      reportChange()
    },
    retain (addresses) {
      for (const address of lostMs.keys()) if (!addresses.has(address)) lostMs.delete(address)
      reportChange()
    },
    isLost: address => lostMs.has(address) || areAllLost(),
    lostAddresses: () => [...lostMs.keys()],
    isInDoubt: beganMs => connectedMs <= beganMs,
    isImpaired
  }
}
