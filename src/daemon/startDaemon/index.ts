/**
 * Wiring of what entry and control daemons share: store, configuration, members, gossip,
 * targets and the operator port. Tasks end with the daemon's disposal.
 */
import { createHybridClock } from '../../clock/createHybridClock/index.js'
import { createConfigurationHolder } from '../../configuration/createConfigurationHolder/index.js'
import { watchConfiguration } from '../../configuration/watchConfiguration/index.js'
import { createEventLog } from '../../event/createEventLog/index.js'
import { createHttpHostList } from '../../hostList/createHttpHostList/index.js'
import { createOpenCalls } from '../../http/createOpenCalls/index.js'
import { listen } from '../../http/listen/index.js'
import { createMemberTable } from '../../member/createMemberTable/index.js'
import { listMembers, registerMember } from '../../member/registerMember/index.js'
import { memberKey, type Member, type MemberRole } from '../../member/types.js'
import { createHttpObjectStore } from '../../objectApi/createHttpObjectStore/index.js'
import { connectPeer } from '../../peer/connectPeer/index.js'
import { createPeerNode } from '../../peer/createPeerNode/index.js'
import { servePeers } from '../../peer/servePeers/index.js'
import type { PeerStream, TrafficMeter } from '../../peer/types.js'
import { createRefusalJournal } from '../../refusal/createRefusalJournal/index.js'
import type { RefusalRegistry } from '../../refusal/types.js'
import { createResourceStack } from '../../runtime/createResourceStack/index.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import type { DaemonSettings } from '../../settings/types.js'
import { createTargetDirectory } from '../../target/createTargetDirectory/index.js'
import { createMetrics, type Metrics } from '../createMetrics/index.js'
import { createOperatorHandler } from '../createOperatorHandler/index.js'
import type { Daemon, DaemonPorts } from '../types.js'

/** Wait between reads of the stored members once this daemon is registered, and before. */
const MEMBERS_REFRESH_MS = 300_000
const MEMBERS_RETRY_MS = 500

/**
 * @name startDaemon
 * @summary Starts the common parts of a daemon.
 * @param settings - Checked settings.
 * @param options - Role, runtime, and ports to use in place of the network's.
 * @returns The daemon; its disposal ends every task and closes every connection.
 *
 * @example
 * await using daemon = await startDaemon(settings, { role: 'entry', runtime })
 */
export async function startDaemon (
  settings: DaemonSettings,
  options: { role: MemberRole, runtime: Runtime, ports?: Partial<DaemonPorts> }
): Promise<Daemon> {
  const { role, runtime } = options
  const { host, address } = settings
  const resources = createResourceStack()
  const controller = new AbortController()
  const { signal } = controller
  const clock = createHybridClock({ nowMs: runtime.nowMs })
  const createLog = options.ports?.createLog ?? createEventLog
  const log = createLog({ host, process: role, clock, level: settings.log.level, ...(settings.log.file ? { file: settings.log.file } : {}) })
  const metrics = createMetrics()
  const ports: DaemonPorts = { ...createNetworkPorts(settings, { runtime, metrics }), ...options.ports }
  const store = resources.use(ports.store)
  const hostList = resources.use(ports.hostList)
  const holder = createConfigurationHolder({ runtime, log })
  const directory = createTargetDirectory({ holder, runtime, log })
  const refusals = createRefusalJournal({ host: memberKey({ host, role }), store, runtime, log })

  let draining = false
  const daemon = { settings, runtime, clock, log, metrics, store, hostList, holder, directory, refusals: refusals as RefusalRegistry, operatorCalls: createOpenCalls({ runtime }), signal } as Daemon
  let accept: (stream: PeerStream) => void = stream => stream[Symbol.dispose]()
  const peerServer = resources.use(await ports.servePeers(stream => accept(stream), { address, port: settings.ports.peer }))
  const operatorServer = resources.use(await ports.listen(createOperatorHandler(daemon), { address, port: settings.ports.operator }))
  const self: Member = {
    host,
    role,
    address: peerServer.address,
    operatorUrl: `http://${operatorServer.address}`,
    failureDomain: settings.failureDomain,
    incarnation: Math.floor(runtime.nowMs()),
    heartbeat: 0,
    status: 'alive',
    revisionInForce: 0
  }
  const table = createMemberTable(self, { runtime, log })
  const node = createPeerNode({ table, holder, directory, clock, connect: ports.connectPeer, intervalMs: settings.gossip.intervalMs, runtime, log, signal })
  accept = node.accept
  const journal = refusals.run(signal)
  const tasks = [
    watchConfiguration({ store, holder, log, runtime, signal }),
    directory.follow(hostList, { pollMs: settings.hostList.pollMs, signal }),
    node.run(),
    followMembers()
  ]

  async function followMembers (): Promise<void> {
    let registered = false
    while (!signal.aborted) {
      registered ||= await registerMember(table.self(), store) !== undefined
      const members = await listMembers(store)
      if (members !== undefined) table.merge(members)
      await sleep((registered && members !== undefined ? MEMBERS_REFRESH_MS : MEMBERS_RETRY_MS) * (0.5 + runtime.random()), { runtime, signal })
    }
  }

  return Object.assign(daemon, {
    table,
    operatorUrl: self.operatorUrl,
    drain () {
      draining = true
      table.leave()
    },
    isDraining: () => draining,
    async [Symbol.asyncDispose] () {
      controller.abort()
      await journal
      await resources[Symbol.asyncDispose]()
      await Promise.all(tasks)
    }
  })
}

function createNetworkPorts (settings: DaemonSettings, options: { runtime: Runtime, metrics: Metrics }): DaemonPorts {
  const { runtime, metrics } = options
  const { objectApi, hostList } = settings
  const meter: TrafficMeter = (direction, sizeBytes) => {
    metrics.peerFrames.inc({ direction })
    metrics.peerBytes.inc({ direction }, sizeBytes)
  }
  const countBytes = (source: string) => (sizeBytes: number) => metrics.platformBytes.inc({ source }, sizeBytes)
  return {
    createLog: createEventLog,
    store: createHttpObjectStore({
      ...objectApi, runtime, onCall: operation => metrics.storeCalls.inc({ operation }), onBytes: countBytes('objectApi')
    }),
    hostList: createHttpHostList({ url: hostList.url, timeoutMs: hostList.pollMs, runtime, onBytes: countBytes('hostList') }),
    connectPeer: address => connectPeer(address, { meter }),
    servePeers: (onStream, at) => servePeers(onStream, { ...at, meter }),
    listen
  }
}
