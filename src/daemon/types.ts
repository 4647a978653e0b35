/**
 * Types that entry and control daemons share.
 */
import type { Listen } from '../http/listen/index.js'
import type { ConnectPeer, PeerServer, PeerStream } from '../peer/types.js'
import type { HybridClock } from '../clock/types.js'
import type { ConfigurationHolder } from '../configuration/types.js'
import type { createEventLog } from '../event/createEventLog/index.js'
import type { EventLog } from '../event/types.js'
import type { HostList } from '../hostList/types.js'
import type { OpenCalls } from '../http/createOpenCalls/index.js'
import type { MemberTable } from '../member/createMemberTable/index.js'
import type { ObjectStore } from '../objectApi/types.js'
import type { RefusalRegistry } from '../refusal/types.js'
import type { Runtime } from '../runtime/types.js'
import type { DaemonSettings } from '../settings/types.js'
import type { PollingTargetDirectory } from '../target/createTargetDirectory/index.js'
import type { Metrics } from './createMetrics/index.js'

/** A started daemon: its parts, its background tasks and its operator port. */
export interface Daemon extends AsyncDisposable {
  settings: DaemonSettings
  runtime: Runtime
  clock: HybridClock
  log: EventLog
  metrics: Metrics
  store: ObjectStore
  hostList: HostList
  holder: ConfigurationHolder
  table: MemberTable
  directory: PollingTargetDirectory
  refusals: RefusalRegistry
  /** Calls in flight on the operator port. */
  operatorCalls: OpenCalls
  /** Base URL of the operator port. */
  operatorUrl: string
  /** Aborts when the daemon stops. */
  signal: AbortSignal
  /** Withdraws readiness and marks this member as leaving; requests are still served. */
  drain: () => void
  isDraining: () => boolean
}

/** Adapters of a daemon to its log, to the object API, the host list and its peers, and to the network port it listens on. Tests and embedding programs replace them. */
export interface DaemonPorts {
  createLog: typeof createEventLog
  store: ObjectStore
  hostList: HostList
  connectPeer: ConnectPeer
  servePeers: (onStream: (stream: PeerStream) => void, options: { address: string, port: number }) => Promise<PeerServer>
  listen: Listen
}
