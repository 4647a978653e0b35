/**
 * Connects this host to targets: directly, or through a peer while its own links are lost. The host
 * keeps each call with its retries and evidence; a peer only passes bytes on.
 */
import type { EventLog } from '../../event/types.js'
import type { Target } from '../../fleet/types.js'
import { repeatTask } from '../../runtime/repeatTask/index.js'
import type { Runtime } from '../../runtime/types.js'
import { openRelay, type RelayResult } from '../_lib/openRelay.js'
import { createLinkState } from '../createLinkState/index.js'
import { OwnLinkError, type ConnectDirectly, type ConnectTarget } from '../types.js'

/** What a connect to a target shows; `unknown` if no peer could be asked whether it is this host's link. */
export type LinkCheck = 'reached' | 'relayed' | 'unreachable' | 'unknown'

/** This host's connections to targets. */
export interface TargetLinks {
  connect: ConnectTarget
  /** Finds out whether a target is up, with the opinion of a peer if the connect fails while this host's links are in doubt, or always. */
  check: (target: Target, options?: { isPeerAlwaysAsked?: boolean }) => Promise<LinkCheck>
  /** Whether the host reaches no target itself. */
  isCutOff: () => boolean
}

interface TargetLinksOptions {
  connectDirectly: ConnectDirectly
  /** Whether a target accepts a connection of this host. */
  isReachable: (target: Target) => Promise<boolean>
  /** Internal addresses of peers, those first that most likely reach targets. */
  relays: () => string[]
  targets: () => readonly Target[]
  runtime: Runtime
  log: EventLog
  signal: AbortSignal
  /** Called when the host finds that it is cut off, and when it no longer is. */
  onChange?: (isCutOff: boolean) => void
  /** Called with the result of each connection through a peer. */
  onRelay?: (result: RelayResult['kind']) => void
}

/** Peers that are asked for one connection. */
const MAX_RELAYS_ASKED = 2

/** Time for which a peer that could not help is not asked, in milliseconds. */
const RELAY_PAUSE_MS = 1_000

/** Interval at which a host that is cut off tries a connection of its own, in milliseconds. */
const PROBE_INTERVAL_MS = 250

/**
 * @name createTargetLinks
 * @summary Creates the connections of a host, whose links are taken for sound at first.
 * @param options - How to connect, whom to ask, and callbacks for metrics.
 * @returns The links; they are probed until the signal aborts.
 *
 * @example
 * const { socket } = await links.connect(target.address)
 */
export function createTargetLinks (options: TargetLinksOptions): TargetLinks {
  const { connectDirectly, isReachable, relays, targets, runtime, log, signal, onChange = () => {}, onRelay = () => {} } = options
  const pausedUntilMs = new Map<string, number>()
  const state = createLinkState({
    runtime,
    onChange (isCutOff, addresses) {
      log.emit(isCutOff ? 'targetLinksLost' : 'targetLinksRegained', isCutOff ? { addresses } : {})
      onChange(isCutOff)
    }
  })

  /** Asks peers in turn until one knows whether the target can be reached; `undefined` if there is none to ask. */
  async function askPeers (address: string): Promise<{ relay: string, result: RelayResult } | undefined> {
    const nowMs = runtime.monotonicMs()
    for (const [relay, untilMs] of pausedUntilMs) if (untilMs <= nowMs) pausedUntilMs.delete(relay)
    let last: { relay: string, result: RelayResult } | undefined
    for (const relay of relays().filter(candidate => !pausedUntilMs.has(candidate)).slice(0, MAX_RELAYS_ASKED)) {
      const result = await openRelay(relay, address, { runtime })
      onRelay(result.kind)
      last = { relay, result }
      if (result.kind !== 'unavailable') return last
      pausedUntilMs.set(relay, runtime.monotonicMs() + RELAY_PAUSE_MS)
    }
    return last
  }

  async function probe (): Promise<void> {
    if (!state.isCutOff()) return
    const listed = targets()
    const target = listed[Math.floor(runtime.random() * listed.length)]
    if (target !== undefined && await isReachable(target)) state.noteConnected(target.address)
  }
  repeatTask(probe, { intervalMs: PROBE_INTERVAL_MS, task: 'links', runtime, log, signal })

  return {
    isCutOff: state.isCutOff,
    async connect (address) {
      const beganMs = runtime.monotonicMs()
      const isRelayedFirst = state.isRelayed(address)
      let opinion = isRelayedFirst ? await askPeers(address) : undefined
      let cause = new Error('neither this host nor a peer could connect')
      if (opinion === undefined || opinion.result.kind === 'unavailable') {
        try {
          const socket = await connectDirectly(address)
          state.noteConnected(address)
          return { socket, relay: undefined }
        } catch (error) {
          if (error instanceof Error) cause = error
        }
        if (!isRelayedFirst && state.isInDoubt(beganMs)) opinion = await askPeers(address)
      }
      if (opinion?.result.kind === 'connected') {
        state.noteContradicted(address)
        return { socket: opinion.result.socket, relay: opinion.relay }
      }
      throw opinion?.result.kind === 'unavailable' ? new OwnLinkError(`${cause.message}; peer: ${opinion.result.cause}`) : cause
    },
    async check (target, { isPeerAlwaysAsked = false } = {}) {
      const beganMs = runtime.monotonicMs()
      if (!state.isCutOff() && await isReachable(target)) {
        state.noteConnected(target.address)
        return 'reached'
      }
      if (!isPeerAlwaysAsked && !state.isInDoubt(beganMs)) return 'unreachable'
      const opinion = await askPeers(target.address)
      if (opinion?.result.kind === 'unavailable') return 'unknown'
      if (opinion?.result.kind !== 'connected') return 'unreachable'
      opinion.result.socket.destroy()
      state.noteContradicted(target.address)
      return 'relayed'
    }
  }
}
