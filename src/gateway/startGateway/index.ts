/**
 * Wiring of a gateway: one process a host that serves callers, follows the store, exchanges
 * digests with its peers and, while it holds the control lease, places layers.
 */
import { setMaxListeners } from 'node:events'
import { createDigestExchange } from '../../digest/createDigestExchange/index.js'
import type { Digest } from '../../digest/types.js'
import { createFleetState } from '../../fleet/createFleetState/index.js'
import { followFleet } from '../../fleet/followFleet/index.js'
import { followReaders } from '../../fleet/followReaders/index.js'
import { isStoreReader } from '../../fleet/isStoreReader/index.js'
import { createOpenCalls } from '../../http/createOpenCalls/index.js'
import { listen } from '../../http/listen/index.js'
import { createCoverageCheck } from '../../path/createCoverageCheck/index.js'
import { createOccupancy } from '../../path/createOccupancy/index.js'
import { runPlacement } from '../../placement/runPlacement/index.js'
import { createRetryBudget } from '../../retry/createRetryBudget/index.js'
import { repeatTask } from '../../runtime/repeatTask/index.js'
import { createResourceStack } from '../../runtime/createResourceStack/index.js'
import { sleep } from '../../runtime/sleep/index.js'
import { withDeadline } from '../../runtime/withDeadline/index.js'
import { createSuspicions } from '../../suspicion/createSuspicions/index.js'
import { createDispatcher, type Dispatcher } from '../../waiting/createDispatcher/index.js'
import { createCallHandler } from '../createCallHandler/index.js'
import { rescueStreams } from '../rescueStreams/index.js'
import { findPeers, registerHost } from '../_lib/findPeers.js'
import { createDuty } from '../_lib/createDuty.js'
import { createInternalHandler, readPeerState } from '../_lib/internalPort.js'
import { observeState } from '../_lib/observeState.js'
import type { GatewayParts, GatewayPorts, GatewaySettings, Place } from '../types.js'

/** A running gateway. */
export interface Gateway extends AsyncDisposable {
  /** Leaves the balancer's rotation, serves what is under way and resolves when it may stop. */
  drain: () => Promise<void>
}

/** Interval at which the lease is renewed, in milliseconds; a third of its duration. */
const LEASE_STEP_MS = 500

/** Time for which a connection may stay idle: longer than callers keep theirs. */
const IDLE_TIMEOUT_MS = 20_000

/** Longest time for a request's header to arrive. */
const REQUEST_DEADLINE_MS = 10_000

/** Limit of a request's header lines; the configuration's own limit is lower. */
const HEADER_SIZE_BYTES = 65_536

/** Part of the grace that is left for the end of the process. */
const EXIT_RESERVE_MS = 400

/** How long the budget counts hosts that were heard, in milliseconds; one window of the budget. */
const HOST_MEMORY_MS = 10_000

/**
 * @name startGateway
 * @summary Starts a gateway.
 * @param settings - Identity, addresses and bounds.
 * @param ports - Edges; those with resources are disposed of with the gateway.
 * @returns The gateway once it listens.
 *
 * @example
 * await using gateway = await startGateway(settings, ports)
 */
export async function startGateway (settings: GatewaySettings, ports: GatewayPorts): Promise<Gateway> {
  const { store, control, socket, format, runtime, log, metrics } = ports
  const resources = createResourceStack()
  const controller = new AbortController()
  const { signal } = controller
  // Every load, watch and loop of this process waits on the one signal.
  setMaxListeners(0, signal)
  const fleet = createFleetState({ runtime })
  const occupancy = createOccupancy({ runtime })
  const suspicions = createSuspicions({ runtime })
  const calls = createOpenCalls({ runtime })
  const dispatchers = new Map<string, Dispatcher<Place>>()
  const startedMs = runtime.nowMs()
  let drainingSinceMs: number | undefined
  resources.use(store)
  resources.use(socket)

  const exchange = createDigestExchange({
    socket,
    ownIp: settings.ip,
    runtime,
    log,
    signal,
    buildDigest,
    progress,
    isFollowing: () => follower.hasConfigurationWatch() && (follower.isConnected() || readerFollower.isConnected()),
    onDigest: takeDigest,
    onPeerLost: host => occupancy.removePeer(host),
    fetchState: async address => { await readPeerState(address, { fleet, runtime, log }) }
  })
  settings.seedIps.forEach(exchange.addAddress)

  const isStoreUpForPeers = (): boolean => exchange.peers().some(peer => peer.digest.isStoreConnected)
  const isReader = (): boolean => isStoreReader(settings, exchange.peers().map(peer => peer.digest))
  const follower = followFleet(fleet, { store, format: ports.fleetFormat, log, runtime, signal, isStoreUpForPeers, isReader })
  const readerFollower = followReaders({
    ownDomain: settings.failureDomain,
    isReader,
    readers: () => exchange.peers().filter(peer => peer.digest.isStoreConnected).map(({ ip, digest }) => ({ address: `${ip}:${digest.statePort}`, failureDomain: digest.failureDomain })),
    readChanges: address => readPeerState(address, { fleet, runtime, log, isWaiting: true }),
    runtime,
    signal
  })
  const duty = createDuty({
    host: settings.host,
    store,
    runtime,
    log,
    metrics,
    peers: exchange.peers,
    isDraining: () => drainingSinceMs !== undefined,
    isReader,
    isStoreUp: () => follower.isConnected() || isStoreUpForPeers()
  })
  const budget = createRetryBudget({
    ratio: settings.retryRatio,
    extraRepeats: settings.retryExtra,
    windowMs: settings.retryWindowMs,
    runtime,
    hostCount: () => exchange.countHosts(HOST_MEMORY_MS)
  })
  const parts: GatewayParts = {
    fleet,
    occupancy,
    suspicions,
    budget,
    streams: new Set(),
    control,
    format,
    runtime,
    log,
    metrics,
    loadAgeMs: exchange.digestAgeMs,
    queueLengths: () => new Map([...dispatchers].map(([service, dispatcher]) => [service, dispatcher.queueLength()])),
    checkCoverage: createCoverageCheck({ fleet, suspicions, runtime }),
    dispatcherOf,
    isDraining: () => drainingSinceMs !== undefined,
    targetsAgeMs: () => Math.min(follower.targetsAgeMs(), readerFollower.ageMs())
  }
  fleet.onChange(() => suspicions.retain(new Set(fleet.targets().map(target => target.id))))

  const handler = createCallHandler(parts, { ownDomain: settings.failureDomain, takesStreams: () => !isRotationOver() })
  const callers = resources.use(await listen(async (request, response) => {
    const task = handler(request, response)
    calls.track({ request: '', response, isAdmitted: false }, task)
    await task
  }, {
    ...settings.callerAddress,
    headerSizeBytes: HEADER_SIZE_BYTES,
    requestDeadlineMs: REQUEST_DEADLINE_MS,
    idleTimeoutMs: IDLE_TIMEOUT_MS,
    isContinueSentByHandler: false
  }))
  resources.use(await listen(async (_request, response) => {
    response.writeHead(isReady() ? 200 : 503, { 'content-length': '0' })
    response.end()
  }, settings.readinessAddress))
  const internal = createInternalHandler({ fleet, metrics, runtime, observe: () => observeState(parts) })
  resources.use(await listen(internal, settings.internalAddress))
  resources.use(await listen(internal, settings.metricsAddress))
  log.emit('processStarted', { address: callers.address, failureDomain: settings.failureDomain })

  registerHost(settings, { store, runtime, log, signal })
  findPeers(exchange, { store, runtime, log, signal })
  rescueStreams(parts, { signal, onFinding: exchange.flush })
  runPlacement({ fleet, suspicions, control, runtime, log, metrics, signal, fencing: duty.fencing, onLoaded: exchange.flush })
  repeatTask(duty.step, { intervalMs: LEASE_STEP_MS, task: 'lease', runtime, log, signal })

  function dispatcherOf (service: string): Dispatcher<Place> {
    const known = dispatchers.get(service)
    if (known !== undefined) return known
    const dispatcher = createDispatcher<Place>({ runtime })
    dispatchers.set(service, dispatcher)
    return dispatcher
  }

  function buildDigest (): Omit<Digest, 'sequence' | 'peers'> {
    return {
      host: settings.host,
      failureDomain: settings.failureDomain,
      startedMs,
      statePort: settings.internalAddress.port,
      ...progress(),
      leaseFencing: duty.fencing() ?? 0,
      load: occupancy.own(),
      suspicions: suspicions.share(),
      seenLayers: fleet.seenLayers()
    }
  }

  function progress (): Pick<Digest, 'configurationVersion' | 'targetsRevision' | 'targetsFingerprint' | 'isStoreConnected'> {
    return { configurationVersion: fleet.configuration()?.version ?? -1, targetsRevision: fleet.revision(), targetsFingerprint: fleet.fingerprint(), isStoreConnected: follower.isConnected() && drainingSinceMs === undefined }
  }

  function takeDigest (digest: Digest): void {
    occupancy.setPeer(digest.host, digest.load)
    duty.learn(digest.leaseFencing)
    digest.suspicions.forEach(suspicions.learn)
    for (const seen of digest.seenLayers) if (!isKnown(seen)) fleet.noteLayers(seen)
  }

  function isKnown (seen: Digest['seenLayers'][number]): boolean {
    const target = fleet.targets().find(candidate => candidate.id === seen.targetId)
    return target?.layers?.from === seen.layers?.from && target?.layers?.to === seen.layers?.to
  }

  const isReady = (): boolean => drainingSinceMs === undefined && fleet.configuration() !== undefined && fleet.revision() >= 0

  const isRotationOver = (): boolean => drainingSinceMs !== undefined && runtime.monotonicMs() - drainingSinceMs > settings.rotationMs

  return {
    async drain () {
      drainingSinceMs = runtime.monotonicMs()
      log.emit('processDraining', { openCalls: calls.size() })
      await sleep(settings.rotationMs, { runtime })
      callers.stopAccepting()
      using limit = withDeadline(settings.graceMs - settings.rotationMs - EXIT_RESERVE_MS, { runtime })
      await calls.whenIdle(limit.signal)
      if (calls.size() > 0) log.emit('drainCut', { openCalls: calls.size() })
      log.emit('processStopped')
    },
    async [Symbol.asyncDispose] () {
      controller.abort()
      await resources[Symbol.asyncDispose]()
    }
  }
}
