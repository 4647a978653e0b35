/**
 * Exchange of digests. Answers the load pattern in which the store turns one host away while it
 * serves the others: a host that sees a peer ahead for longer than a watch takes reads the state
 * from that peer.
 */
import type { EventLog } from '../../event/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import { digestSchema, encodeDigest, type Digest, type DigestSocket } from '../types.js'

/** A peer as this host last heard it. */
export interface Peer {
  ip: string
  digest: Digest
  heardMs: number
}

/** What the exchange works with. */
export interface DigestExchangeOptions {
  socket: DigestSocket
  ownIp: string
  runtime: Runtime
  log: EventLog
  signal: AbortSignal
  /** This host's digest, but for what the exchange itself adds. */
  buildDigest: () => Omit<Digest, 'sequence' | 'peers'>
  /** How far this host has read the store; part of its digest. */
  progress: () => Pick<Digest, 'configurationVersion' | 'targetsRevision' | 'targetsFingerprint' | 'isStoreConnected'>
  /** Whether changes reach this host without its peers' digests. */
  isFollowing: () => boolean
  /** Takes a peer's digest. */
  onDigest: (digest: Digest) => void
  /** Called when a peer was not heard for a while. */
  onPeerLost: (host: string) => void
  /** Reads state from a peer that is ahead; resolves when it is applied or has failed. */
  fetchState: (address: string) => Promise<void>
}

/** Peers of this host. */
export interface DigestExchange {
  addAddress: (ip: string) => void
  /** Peers heard lately. */
  peers: () => Peer[]
  /** Hosts heard within a time, this one included. */
  countHosts: (withinMs: number) => number
  /** Mean age of the peers' digests, in milliseconds. */
  digestAgeMs: () => number
  /** Sends a digest at once, as when a target is found dead. */
  flush: () => void
}

/** Interval of digests; a finding reaches the other hosts within it. */
const INTERVAL_MS = 100

/** Peers that get each digest; more are taken in turn. */
const FAN_OUT = 8

/** Addresses told in one digest; all become known over a few. */
const PEERS_TOLD = 16

/** Silence after which a peer's load no longer counts. */
const LOST_MS = 1_500

/** Silence after which an address is only tried now and then, and how rarely. */
const QUIET_MS = 10_000
const QUIET_SHARE = 0.05

/** How long a peer must be ahead before its state is read; the store's watch is faster when it works. */
const AHEAD_MS = 300

/**
 * @name createDigestExchange
 * @summary Starts to exchange digests until the signal aborts.
 * @param options - Socket, runtime, own digest and callbacks.
 * @returns The exchange.
 *
 * @example
 * const exchange = createDigestExchange({ socket, ownIp, runtime, log, signal, buildDigest, progress, isFollowing, onDigest, onPeerLost, fetchState })
 */
export function createDigestExchange (options: DigestExchangeOptions): DigestExchange {
  const { socket, ownIp, runtime, log, signal, buildDigest, progress, isFollowing, onDigest, onPeerLost, fetchState } = options
  const addressHeardMs = new Map<string, number>()
  const peers = new Map<string, Peer>()
  const aheadSinceMs = new Map<string, number>()
  let sequence = 0
  let turn = 0
  let isFetching = false

  function addAddress (ip: string): void {
    if (ip !== ownIp && !addressHeardMs.has(ip)) addressHeardMs.set(ip, runtime.monotonicMs())
  }

  function chooseReceivers (): string[] {
    const nowMs = runtime.monotonicMs()
    const due = [...addressHeardMs].filter(([, heardMs]) => nowMs - heardMs < QUIET_MS || runtime.random() < QUIET_SHARE).map(([ip]) => ip)
    if (due.length <= FAN_OUT) return due
    turn = (turn + FAN_OUT) % due.length
    return [...due.slice(turn), ...due.slice(0, turn)].slice(0, FAN_OUT)
  }

  function chooseToldPeers (): string[] {
    const ips = [...peers.values()].map(peer => peer.ip)
    const first = Math.floor(runtime.random() * ips.length)
    return [...ips.slice(first), ...ips.slice(0, first)].slice(0, PEERS_TOLD)
  }

  function flush (): void {
    const receivers = chooseReceivers()
    if (receivers.length === 0) return
    const digest: Digest = { ...buildDigest(), sequence: ++sequence, peers: chooseToldPeers() }
    const bytes = encodeDigest(digest)
    for (const ip of receivers) socket.send(ip, bytes)
  }

  function isOlder (digest: Digest): boolean {
    const known = peers.get(digest.host)?.digest
    if (known === undefined) return false
    return digest.startedMs < known.startedMs || (digest.startedMs === known.startedMs && digest.sequence <= known.sequence)
  }

  function take (ip: string, bytes: Buffer): void {
    const digest = readDigest(bytes)
    if (digest === undefined) return log.emit('peerMessageInvalid', { ip, sizeBytes: bytes.length })
    addressHeardMs.set(ip, runtime.monotonicMs())
    digest.peers.forEach(addAddress)
    if (isOlder(digest)) return
    if (!peers.has(digest.host)) log.emit('memberJoined', { member: digest.host, ip })
    peers.set(digest.host, { ip, digest, heardMs: runtime.monotonicMs() })
    onDigest(digest)
    followAhead(ip, digest)
  }

  function followAhead (ip: string, digest: Digest): void {
    const own = progress()
    const knowsOtherTargets = digest.targetsRevision > own.targetsRevision && digest.targetsFingerprint !== own.targetsFingerprint
    const isAhead = digest.configurationVersion > own.configurationVersion || knowsOtherTargets
    if (!isAhead) {
      aheadSinceMs.delete(ip)
      return
    }
    const sinceMs = aheadSinceMs.get(ip) ?? runtime.monotonicMs()
    aheadSinceMs.set(ip, sinceMs)
    const isPatient = own.configurationVersion >= 0 && own.targetsRevision >= 0 && isFollowing()
    if (isFetching || (isPatient && runtime.monotonicMs() - sinceMs < AHEAD_MS)) return
    isFetching = true
    fetchState(`${ip}:${digest.statePort}`).finally(() => { isFetching = false })
  }

  function dropLost (): void {
    for (const [host, peer] of peers) {
      if (runtime.monotonicMs() - peer.heardMs < LOST_MS) continue
      peers.delete(host)
      aheadSinceMs.delete(peer.ip)
      log.emit('memberLost', { member: host, ip: peer.ip })
      onPeerLost(host)
    }
  }

  socket.onMessage(take)
  run()

  async function run (): Promise<void> {
    while (!signal.aborted) {
      flush()
      dropLost()
      await sleep(INTERVAL_MS, { runtime, signal })
    }
  }

  return {
    addAddress,
    peers: () => [...peers.values()],
    countHosts: withinMs => 1 + [...addressHeardMs.values()].filter(heardMs => runtime.monotonicMs() - heardMs < withinMs).length,
    digestAgeMs () {
      const nowMs = runtime.monotonicMs()
      return peers.size === 0 ? 0 : [...peers.values()].reduce((sum, peer) => sum + nowMs - peer.heardMs, 0) / peers.size
    },
    flush
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
