/**
 * Connects this host to targets: directly, or through a peer while its own links are lost. The host
 * keeps each call with its retries and evidence; a peer only passes bytes on.
 */
import type { Socket } from 'node:net'
import type { EventLog } from '../../event/types.js'
import type { Target } from '../../fleet/types.js'
import { repeatTask } from '../../runtime/repeatTask/index.js'
import type { Runtime } from '../../runtime/types.js'
import type { TargetInstance } from '../_lib/leavingHeader.js'
import { openRelay, type RelayResult } from '../_lib/openRelay.js'
import { createLinkState } from '../createLinkState/index.js'
import { OwnLinkError, type ConnectDirectly, type ConnectTarget } from '../types.js'

/** What a connect to a target shows; `unknown` if no peer could be asked whether it is this host's link. */
export type LinkCheck = 'reached' | 'relayed' | 'unreachable' | 'unknown'

/** This host's connections to targets. */
export interface TargetLinks {
  connect: ConnectTarget
  /** Finds out whether a target is up, with the opinion of a peer if the connect fails while this host's links are in doubt, or always; peers have none of targets that leave. */
  check: (target: Target, options?: { isPeerAlwaysAsked?: boolean }) => Promise<LinkCheck>
  /** Whether the host has lost several links, so that its peers should ask others. */
  isImpaired: () => boolean
  /** Opens a direct connection for a peer: `unknown` if its failure may be due to this host's own links. */
  connectForPeer: (address: string) => Promise<Socket | 'targetUnreachable' | 'unknown'>
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
  /** Called when the host has lost several links, and when it no longer has. */
  onChange?: (isImpaired: boolean) => void
  /** Called with the result of each connection through a peer. */
  onRelay?: (result: RelayResult['kind']) => void
  /** Called when a peer says that a target leaves. */
  onTargetLeaving?: (target: TargetInstance) => void
}

/** What a peer found out about a target. */
interface Opinion {
  relay: string
  result: RelayResult
}

/** Peers that are asked for one connection. */
const MAX_RELAYS_ASKED = 2

/** Time for which a peer that could not help is not asked, in milliseconds. */
const RELAY_PAUSE_MS = 1_000

/** Interval at which lost links are tried, in milliseconds, and number of links tried each time. */
const PROBE_INTERVAL_MS = 250
const PROBES_PER_ROUND = 4

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
  const { connectDirectly, isReachable, relays, targets, runtime, log, signal, onChange = () => {}, onRelay = () => {}, onTargetLeaving = () => {} } = options
  const pausedUntilMs = new Map<string, number>()
  let nextProbe = 0
  const state = createLinkState({
    runtime,
    onChange (isImpaired, addresses) {
      log.emit(isImpaired ? 'targetLinksLost' : 'targetLinksRegained', { addresses })
      onChange(isImpaired)
    }
  })

  /** Asks peers in turn until one knows whether the target can be reached; `undefined` if there is none to ask. */
  async function askPeers (address: string): Promise<Opinion | undefined> {
    const nowMs = runtime.monotonicMs()
    for (const [relay, untilMs] of pausedUntilMs) if (untilMs <= nowMs) pausedUntilMs.delete(relay)
    const known = relays()
    let opinion: Opinion | undefined = known.length === 0 ? undefined : { relay: known[0]!, result: { kind: 'unavailable', cause: 'no peer could help lately' } }
    for (const relay of known.filter(candidate => !pausedUntilMs.has(candidate)).slice(0, MAX_RELAYS_ASKED)) {
      const result = await openRelay(relay, address, { runtime })
      onRelay(result.kind)
      opinion = { relay, result }
      if (result.kind === 'targetLeaving') onTargetLeaving(result.target)
      if (result.kind !== 'unavailable') break
      if (result.isPaused !== true) pausedUntilMs.set(relay, runtime.monotonicMs() + RELAY_PAUSE_MS)
    }
    return opinion
  }

  /** Connects to another target, which shows whether this host's own links are sound. */
  async function reachAnother (address: string): Promise<void> {
    const others = targets().filter(target => target.address !== address && !state.isLost(target.address))
    const other = others[Math.floor(runtime.random() * others.length)]
    if (other !== undefined && await isReachable(other)) state.noteConnected(other.address)
  }

  /** Tries some of the lost links, each in its turn. */
  async function probe (): Promise<void> {
    if (state.lostAddresses().length === 0) return
    const byAddress = new Map(targets().map(target => [target.address, target]))
    state.retain(new Set(byAddress.keys()))
    const lost = state.lostAddresses()
    await Promise.all(Array.from({ length: Math.min(PROBES_PER_ROUND, lost.length) }, async () => {
      const target = byAddress.get(lost[nextProbe++ % lost.length]!)!
      if (await isReachable(target)) state.noteConnected(target.address)
    }))
  }
  repeatTask(probe, { intervalMs: PROBE_INTERVAL_MS, task: 'links', runtime, log, signal })

  return {
    isImpaired: state.isImpaired,
    async connect (address) {
      const beganMs = runtime.monotonicMs()
      const isLost = state.isLost(address)
      let opinion = isLost ? await askPeers(address) : undefined
      let cause = new Error('neither this host nor a peer could connect')
      if (opinion === undefined || opinion.result.kind === 'unavailable') {
        try {
          const socket = await connectDirectly(address)
          state.noteConnected(address)
          return { socket, relay: undefined, isEndConfirmed: true }
        } catch (error) {
          if (error instanceof Error) cause = error
        }
        if (!isLost && state.isInDoubt(beganMs)) opinion = await askPeers(address)
      }
      if (opinion?.result.kind === 'connected') {
        state.noteLost(address)
        return { socket: opinion.result.socket, relay: opinion.relay, isEndConfirmed: opinion.result.isEndConfirmed }
      }
      if (opinion?.result.kind === 'targetLeaving') throw new OwnLinkError('target leaves, as a peer says')
      throw opinion?.result.kind === 'unavailable' ? new OwnLinkError(`${cause.message}; peer: ${opinion.result.cause}`) : cause
    },
    async connectForPeer (address) {
      if (state.isLost(address)) return 'unknown'
      const beganMs = runtime.monotonicMs()
      try {
        const socket = await connectDirectly(address)
        state.noteConnected(address)
        return socket
      } catch {
        // The peer logs the result.
        if (state.isInDoubt(beganMs)) await reachAnother(address)
        return state.isInDoubt(beganMs) ? 'unknown' : 'targetUnreachable'
      }
    },
    async check (target, { isPeerAlwaysAsked = false } = {}) {
      const beganMs = runtime.monotonicMs()
      if (!state.isLost(target.address) && await isReachable(target)) {
        state.noteConnected(target.address)
        return 'reached'
      }
      if (!isPeerAlwaysAsked && !state.isInDoubt(beganMs)) return 'unreachable'
      const opinion = await askPeers(target.address)
      if (opinion?.result.kind === 'unavailable' || opinion?.result.kind === 'targetLeaving') return 'unknown'
      if (opinion?.result.kind !== 'connected') return 'unreachable'
      opinion.result.socket.destroy()
      state.noteLost(target.address)
      return 'relayed'
    }
  }
}
