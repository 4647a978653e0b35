/**
 * Exchanges digests with the other hosts. The store may reject one host while it serves the
 * others, so a host that stays behind a peer for longer than a watch takes reads the state from
 * that peer.
 */
import type { EventLog } from '../../event/types.js'
import { repeatTask } from '../../runtime/repeatTask/index.js'
import type { Runtime } from '../../runtime/types.js'
import { digestSchema, encodeDigest, type Digest, type DigestSocket } from '../types.js'

/** A peer with its latest digest. */
export interface Peer {
  ip: string
  digest: Digest
  lastHeardMs: number
}

/** Dependencies and callbacks of the exchange. */
export interface DigestExchangeOptions {
  socket: DigestSocket
  ownIp: string
  runtime: Runtime
  log: EventLog
  signal: AbortSignal
  /** Builds this host's digest, without the fields that the exchange itself adds. */
  buildDigest: () => Omit<Digest, 'sequence' | 'peers'>
  /** How far this host has followed the store; compared with each digest of a peer. */
  storeProgress: () => Pick<Digest, 'configurationVersion' | 'targetsRevision' | 'targetsFingerprint'>
  /** Whether changes reach this host by watches, so that it need not rely on digests. */
  isFollowingStore: () => boolean
  /** Called with each new digest of a peer. */
  onDigest: (digest: Digest) => void
  /** Called when no digest of a peer has arrived for a while. */
  onPeerLost: (host: string) => void
  /** Reads the state of a peer that is ahead; resolves when it is applied or the read has failed. */
  fetchState: (address: string) => Promise<void>
}

/** The peers of this host and the sending of digests. */
export interface DigestExchange {
  addAddress: (ip: string) => void
  /** Peers heard from recently. */
  peers: () => Peer[]
  /** Number of hosts heard from within a time in milliseconds, this one included. */
  countHosts: (withinMs: number) => number
  /** Mean age of the peers' digests, in milliseconds. */
  digestAgeMs: () => number
  /** Sends a digest at once, for example when a target is found dead. */
  sendNow: () => void
}

/** Interval between digests, in milliseconds; a suspicion reaches the other hosts within it. */
const INTERVAL_MS = 100

/** Number of peers that get each digest; if there are more, they take turns. */
const FANOUT = 8

/** Number of addresses in one digest; a few digests make all of them known. */
const ADVERTISED_PEERS = 16

/** Time without a digest after which a peer counts as lost and its load is ignored, in milliseconds. */
const PEER_TIMEOUT_MS = 1_500

/** Time without a digest after which an address only gets some of the digests, in milliseconds, and the probability of each. */
const SILENT_AFTER_MS = 10_000
const SILENT_SEND_PROBABILITY = 0.05

/** How long a peer must be ahead before its state is read, in milliseconds; a working watch on the store is faster. */
const AHEAD_GRACE_MS = 300

/**
 * @name createDigestExchange
 * @summary Exchanges digests until the signal aborts.
 * @param options - Socket, runtime, own digest and callbacks.
 * @returns The exchange.
 *
 * @example
 * const exchange = createDigestExchange({ socket, ownIp, runtime, log, signal, buildDigest, storeProgress, isFollowingStore, onDigest, onPeerLost, fetchState })
 */
export function createDigestExchange (options: DigestExchangeOptions): DigestExchange {
  const { socket, ownIp, runtime, log, signal, buildDigest, storeProgress, isFollowingStore, onDigest, onPeerLost, fetchState } = options
  const addressHeardMs = new Map<string, number>()
  const peers = new Map<string, Peer>()
  const aheadSinceMs = new Map<string, number>()
  let sequence = 0
  let nextReceiver = 0
  let isFetching = false

  function addAddress (ip: string): void {
    if (ip !== ownIp && !addressHeardMs.has(ip)) addressHeardMs.set(ip, runtime.monotonicMs())
  }

  function chooseReceivers (): string[] {
    const nowMs = runtime.monotonicMs()
    const due = [...addressHeardMs].filter(([, heardMs]) => nowMs - heardMs < SILENT_AFTER_MS || runtime.random() < SILENT_SEND_PROBABILITY).map(([ip]) => ip)
    if (due.length <= FANOUT) return due
    nextReceiver = (nextReceiver + FANOUT) % due.length
    return [...due.slice(nextReceiver), ...due.slice(0, nextReceiver)].slice(0, FANOUT)
  }

  function chooseAdvertisedPeers (): string[] {
    const ips = [...peers.values()].map(peer => peer.ip)
    const first = Math.floor(runtime.random() * ips.length)
    return [...ips.slice(first), ...ips.slice(0, first)].slice(0, ADVERTISED_PEERS)
  }

  function sendNow (): void {
    const receivers = chooseReceivers()
    if (receivers.length === 0) return
    const digest: Digest = { ...buildDigest(), sequence: ++sequence, peers: chooseAdvertisedPeers() }
    const bytes = encodeDigest(digest)
    for (const ip of receivers) socket.send(ip, bytes)
  }

  function isStale (digest: Digest): boolean {
    const known = peers.get(digest.host)?.digest
    if (known === undefined) return false
    return digest.startedMs < known.startedMs || (digest.startedMs === known.startedMs && digest.sequence <= known.sequence)
  }

  function receive (ip: string, bytes: Buffer): void {
    const digest = readDigest(bytes)
    if (digest === undefined) return log.emit('peerMessageInvalid', { ip, sizeBytes: bytes.length })
    addressHeardMs.set(ip, runtime.monotonicMs())
    digest.peers.forEach(addAddress)
    if (isStale(digest)) return
    if (!peers.has(digest.host)) log.emit('memberJoined', { member: digest.host, ip })
    peers.set(digest.host, { ip, digest, lastHeardMs: runtime.monotonicMs() })
    onDigest(digest)
    fetchIfAhead(ip, digest)
  }

  function fetchIfAhead (ip: string, digest: Digest): void {
    const own = storeProgress()
    const knowsOtherTargets = digest.targetsRevision > own.targetsRevision && digest.targetsFingerprint !== own.targetsFingerprint
    const isAhead = digest.configurationVersion > own.configurationVersion || knowsOtherTargets
    if (!isAhead) {
      aheadSinceMs.delete(ip)
      return
    }
    const sinceMs = aheadSinceMs.get(ip) ?? runtime.monotonicMs()
    aheadSinceMs.set(ip, sinceMs)
    const canWait = own.configurationVersion >= 0 && own.targetsRevision >= 0 && isFollowingStore()
    if (isFetching || (canWait && runtime.monotonicMs() - sinceMs < AHEAD_GRACE_MS)) return
    isFetching = true
    fetchState(`${ip}:${digest.statePort}`).finally(() => { isFetching = false })
  }

  function removeLostPeers (): void {
    for (const [host, peer] of peers) {
      if (runtime.monotonicMs() - peer.lastHeardMs < PEER_TIMEOUT_MS) continue
      peers.delete(host)
      aheadSinceMs.delete(peer.ip)
      log.emit('memberLost', { member: host, ip: peer.ip })
      onPeerLost(host)
    }
  }

  function runRound (): void {
    sendNow()
    removeLostPeers()
  }

  socket.onMessage(receive)
  repeatTask(runRound, { intervalMs: INTERVAL_MS, task: 'digests', runtime, log, signal })

  return {
    addAddress,
    peers: () => [...peers.values()],
    countHosts: withinMs => 1 + [...addressHeardMs.values()].filter(heardMs => runtime.monotonicMs() - heardMs < withinMs).length,
    digestAgeMs () {
      const nowMs = runtime.monotonicMs()
      return peers.size === 0 ? 0 : [...peers.values()].reduce((sum, peer) => sum + nowMs - peer.lastHeardMs, 0) / peers.size
    },
    sendNow
  }
}

function readDigest (bytes: Buffer): Digest | undefined {
  try {
    const parsed = digestSchema.safeParse(JSON.parse(bytes.toString('utf8')))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}
