/**
 * What entry and control daemons have in common.
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

/** A started daemon: its parts, its tasks and its operator port. */
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
  /** Calls of the operator port in flight. */
  operatorCalls: OpenCalls
  /** Base URL of the operator port. */
  operatorUrl: string
  /** Aborts when the daemon stops. */
  signal: AbortSignal
  /** Withdraws readiness; requests are still served. */
  drain: () => void
  isDraining: () => boolean
}

/** The outside of a daemon. Tests and embedding programs put their own in place of the network's. */
export interface DaemonPorts {
  createLog: typeof createEventLog
  store: ObjectStore
  hostList: HostList
  connectPeer: ConnectPeer
  servePeers: (onStream: (stream: PeerStream) => void, options: { address: string, port: number }) => Promise<PeerServer>
  listen: Listen
}
