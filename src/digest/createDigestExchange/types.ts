/**
 * Types of the exchange of digests: what it needs, and what it tells its host.
 */
import type { CrashEvidence } from '../../crash/createCrashEvidence/index.js'
import type { EventLog } from '../../event/types.js'
import type { ConnectedReader } from '../../fleet/isStoreReader/index.js'
import type { LoadByKey } from '../../path/hashLoadKey/index.js'
import type { Runtime } from '../../runtime/types.js'
import type { Digest, DigestSocket, HostState, Notices } from '../types.js'

/** A neighbor with its latest digest. */
export interface Peer {
  ip: string
  digest: Digest
  lastHeardMs: number
}

/** Load of the neighbors, by their addresses. */
export interface LoadExchange {
  /** Load of this host and of all hosts behind the given neighbors. */
  sumWith: (neighbors: Iterable<string>) => LoadByKey
  /** Replaces the load behind a neighbor; returns whether it differs. */
  setNeighborLoad: (neighbor: string, load: LoadByKey) => boolean
  removeNeighbor: (neighbor: string) => void
  /** Calls the listener when this host's own load changes. */
  onOwnChange: (listener: () => void) => void
}

/** Dependencies and callbacks of the exchange. */
export interface DigestExchangeOptions {
  socket: DigestSocket
  ownIp: string
  ownDomain: string
  runtime: Runtime
  log: EventLog
  signal: AbortSignal
  load: LoadExchange
  /** Builds this host's own state. */
  buildState: () => HostState
  /** This host's own observations of targets, which the others get. */
  ownNotices: () => Notices
  /** Called with observations of other hosts, each once. */
  onNotices: (notices: Notices) => void
  /** Evidence on prompts that crash engines, which all hosts share. */
  crashEvidence: Pick<CrashEvidence, 'newsFor' | 'applyNews'>
  /** Whether changes reach this host by other ways, so that it need not rely on digests. */
  isFollowingStore: () => boolean
  /** Called with each new digest of a neighbor. */
  onDigest: (digest: Digest) => void
  /** Reads the state of a neighbor that is ahead; resolves when it is applied or the read has failed. */
  fetchState: (address: string) => Promise<void>
}

/** The neighbors of this host, what is known through them, and the sending of digests. */
export interface DigestExchange {
  addAddress: (ip: string) => void
  /** Neighbors heard from recently. */
  peers: () => Peer[]
  /** The parent of this host; `undefined` at a root, or while the parent has not been heard. */
  parent: () => Peer | undefined
  /** Whether this host is a root of the tree. */
  isRoot: () => boolean
  /** Addresses of the other hosts that are alive, as far as this one knows. */
  memberIps: () => string[]
  /** Number of hosts, this one included. */
  hostCount: () => number
  /** Largest number of hosts in the last ten seconds; some of them may have stopped since. */
  recentHostCount: () => number
  /** Mean age of what is known of the other hosts' load, in milliseconds. */
  loadAgeMs: () => number
  /** Number of hosts between this one and the roots. */
  depth: () => number
  /** The other roots that are heard, if this host is one. */
  otherRoots: () => Peer[]
  /** Hosts that were connected to the store shortly before: the first behind each neighbor. */
  readers: () => ConnectedReader[]
  /** Sends digests at once, for example when a target is found dead. */
  sendNow: () => void
}
