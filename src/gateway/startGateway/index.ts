/**
 * Assembles a gateway: one process per host that serves callers, watches the store, exchanges
 * digests with its peers and, while it holds the control lease, assigns layers to engines.
 */
import { setMaxListeners } from 'node:events'
import { createCostModel } from '../../cost/createCostModel/index.js'
import { createDurationModel } from '../../cost/createDurationModel/index.js'
import { createSlowdowns } from '../../cost/createSlowdowns/index.js'
import { createCrashEvidence } from '../../crash/createCrashEvidence/index.js'
import { createDigestExchange } from '../../digest/createDigestExchange/index.js'
import type { HostState, Notices } from '../../digest/types.js'
import type { EventFields } from '../../event/types.js'
import { createFleetState, type SeenLayers } from '../../fleet/createFleetState/index.js'
import type { Target } from '../../fleet/types.js'
import { followFleet } from '../../fleet/followFleet/index.js'
import { followStoreReaders, type StoreReader } from '../../fleet/followStoreReaders/index.js'
import { shareOfWait } from '../../fleet/shareOfWait/index.js'
import { isStoreReader, ROOT_DELAY_MS } from '../../fleet/isStoreReader/index.js'
import { createOpenCalls } from '../../http/createOpenCalls/index.js'
import { listen } from '../../http/listen/index.js'
import { createCoverageCheck } from '../../path/createCoverageCheck/index.js'
import { createRelayHandler } from '../../links/createRelayHandler/index.js'
import { createTargetLinks } from '../../links/createTargetLinks/index.js'
import { createLoadTracker } from '../../path/createLoadTracker/index.js'
import { runPlacement } from '../../placement/runPlacement/index.js'
import { createRoomCheck } from '../../room/createRoomCheck/index.js'
import { createTargetLimits } from '../../rateLimit/createTargetLimits/index.js'
import { createTargetPauses } from '../../pause/createTargetPauses/index.js'
import { createRetryBudget } from '../../retry/createRetryBudget/index.js'
import { repeatTask } from '../../runtime/repeatTask/index.js'
import { createResourceStack } from '../../runtime/createResourceStack/index.js'
import { watchStalls } from '../../runtime/watchStalls/index.js'
import { sleep } from '../../runtime/sleep/index.js'
import { DeadlineError, withDeadline } from '../../runtime/withDeadline/index.js'
import { createSuspicions } from '../../suspicion/createSuspicions/index.js'
import { createDispatcher, type Dispatcher } from '../../waiting/createDispatcher/index.js'
import { createCallHandler } from '../createCallHandler/index.js'
import { rerouteStreams } from '../rerouteStreams/index.js'
import { discoverPeers, registerHost } from '../_lib/discoverPeers.js'
import { createAnswerPacer } from '../_lib/createAnswerPacer.js'
import { createByteBudget } from '../_lib/createByteBudget.js'
import { createInputSlicer } from '../_lib/createInputSlicer.js'
import { createCrashDetector } from '../_lib/createCrashDetector.js'
import { createTargetCheck } from '../_lib/createTargetCheck.js'
import { createLeaderElection } from '../_lib/createLeaderElection.js'
import { keepCrashEvidence } from '../_lib/keepCrashEvidence.js'
import { explainPlace } from '../_lib/explainPlace.js'
import { createInternalHandler, readPeerState } from '../_lib/internalPort.js'
import { listRanks } from '../_lib/listRanks.js'
import { listRelays } from '../_lib/listRelays.js'
import { isUnanswered, reportUnanswered } from '../_lib/reportCut.js'
import { noteRelayedStatements } from '../_lib/noteStatements.js'
import { updateGauges } from '../_lib/updateGauges.js'
import type { GatewayContext, GatewayPorts, GatewaySettings, OpenRequest, Reservation } from '../types.js'

/** A running gateway. */
export interface Gateway extends AsyncDisposable {
  /** Reports not ready so that the load balancer removes this host, finishes the open calls, and resolves when the process may stop. */
  drain: () => Promise<void>
}

/** Milliseconds in a second. */
const MS_PER_S = 1_000

/** Interval at which the lease is renewed, in milliseconds; a third of its duration. */
const LEASE_RENEWAL_MS = 500

/** Time for which a connection may stay idle, in milliseconds; longer than callers keep theirs. */
const IDLE_TIMEOUT_MS = 20_000

/** Longest time for a request's header to arrive, in milliseconds; the whole request has twice as long. */
const REQUEST_DEADLINE_MS = 10_000

/** Limit on the size of a request's headers; the limit in the configuration is lower. */
const HEADER_SIZE_BYTES = 65_536

/** Part of the grace period reserved for ending the open calls and for process exit, in milliseconds. */
const EXIT_RESERVE_MS = 400

/** Calls cut by the shutdown that get a line each; the others are only counted. */
const MAX_CUT_LINES = 20

/** Time for which a connection stays open after an answer that promised so, once the port is closed, in milliseconds: a next request that crosses the close gets a refusal. */
const LINGER_MS = 300

/** Time limit for callers to receive the last answers, in milliseconds. */
const FLUSH_TIMEOUT_MS = 200

/**
 * @name startGateway
 * @summary Starts a gateway.
 * @param settings - Identity, addresses and limits.
 * @param ports - Adapters; the store and the socket are disposed of with the gateway.
 * @returns The gateway once it listens.
 *
 * @example
 * await using gateway = await startGateway(settings, ports)
 */
export async function startGateway (settings: GatewaySettings, ports: GatewayPorts): Promise<Gateway> {
  const { store, control, connectDirectly, socket, format, runtime, log, metrics } = ports
  const resources = createResourceStack()
  const controller = new AbortController()
  const { signal } = controller
  // Every watch and background loop listens to this signal: lift the limit that triggers Node's leak warning.
  setMaxListeners(0, signal)
  /** Aborts when the calls that are still open have to end. */
  const callsController = new AbortController()
  setMaxListeners(0, callsController.signal)
  const fleet = createFleetState({ runtime, onNewEra: change => log.emit('storeRestored', { ...change }) })
  const loadTracker = createLoadTracker({ runtime, hostCount: () => exchange.hostCount() })
  const slowdowns = createSlowdowns({ runtime })
  const suspicions = createSuspicions({ runtime, slowdownOf: slowdowns.slowdownOf })
  const targetLimits = createTargetLimits({ runtime, log, ownIp: settings.ip, otherIps: () => exchange.memberIps() })
  const targetPauses = createTargetPauses({ runtime, log })
  const crashEvidence = createCrashEvidence({ runtime, log, onVerdict: (verdict, kind) => metrics[kind === 'part' ? 'promptVerdicts' : 'requestVerdicts'].inc({ verdict }) })
  const calls = createOpenCalls<OpenRequest>({ runtime })
  const dispatchers = new Map<string, Dispatcher<Reservation>>()
  const startedMs = runtime.nowMs()
  const startedAtMs = runtime.monotonicMs()
  let drainingSinceMs: number | undefined
  let hasPortClosed = false
  resources.use(store)
  resources.use(socket)

  const exchange = createDigestExchange({
    socket,
    ownIp: settings.ip,
    ownDomain: settings.failureDomain,
    runtime,
    log,
    signal,
    load: loadTracker,
    buildState,
    ownNotices: () => ({ suspicions: suspicions.share(), seenLayers: fleet.seenLayers(), limits: targetLimits.share(), leaving: fleet.knownLeaving() }),
    onNotices: applyNotices,
    crashEvidence,
    isFollowingStore: () => follower.isConnected() || readerFollower.isConnected(),
    onDigest: digest => election.observeFencing(digest.leaseFencing),
    fetchState: async address => { await readPeerState(address, { fleet, runtime, log }) }
  })
  settings.seedIps.forEach(exchange.addAddress)

  const isStoreUpForPeers = (): boolean => exchange.readers().length > 0
  const isReader = (): boolean => isStoreReader({ ip: settings.ip, depth: exchange.depth() }, exchange.readers(), { upMs: runtime.monotonicMs() - startedAtMs, hasNeighbors: exchange.peers().length > 0 })
  const isConfigurationWatcher = (): boolean => exchange.isRoot() && runtime.monotonicMs() - startedAtMs >= ROOT_DELAY_MS
  const follower = followFleet(fleet, { store, format: ports.fleetFormat, log, runtime, signal, isStoreUpForPeers, isReader, isConfigurationWatcher, configurationWaitShare: () => shareOfWait(settings.ip, exchange.otherRoots().map(({ ip }) => ip)) })
  const readerFollower = followStoreReaders({
    ownDomain: settings.failureDomain,
    isReader,
    readers: listStateSources,
    pullChanges: address => readPeerState(address, { fleet, runtime, log, isLongPoll: true }),
    runtime,
    signal
  })
  const election = createLeaderElection({
    host: settings.host,
    store,
    runtime,
    log,
    metrics,
    otherRoots: exchange.otherRoots,
    isRoot: exchange.isRoot,
    isDraining: () => drainingSinceMs !== undefined,
    isReader,
    isStoreReachable: () => follower.isConnected() || isStoreUpForPeers()
  })
  const budget = createRetryBudget({
    ratio: settings.retryRatio,
    extraRetries: settings.retryExtra,
    windowMs: settings.retryWindowMs,
    runtime,
    hostCount: exchange.recentHostCount
  })
  const links = createTargetLinks({
    connectDirectly,
    isReachable: control.isReachable,
    relays: () => listRelays({ ownIp: settings.ip, neighbors: exchange.peers(), memberIps: exchange.memberIps(), seedIps: settings.seedIps, internalPort: settings.internalAddress.port, random: runtime.random }),
    targets: fleet.targets,
    runtime,
    log,
    signal,
    onChange: isImpaired => metrics.isImpaired.set(isImpaired ? 1 : 0),
    onRelay: result => metrics.relayedConnections.inc({ result }),
    onTargetLeaving: noteLeavingByPeer
  })
  const relayHandler = createRelayHandler({
    targets: fleet.targets,
    runtime,
    maxAgeMs: () => Math.max(0, ...(fleet.configuration()?.routes ?? []).map(route => route.timeoutMs)),
    connect: links.connectForPeer,
    // A request that comes through later would be cut by the end of this process.
    isAccepting: () => !hasBalancerLagPassed(),
    hasLeft: fleet.hasLeft,
    pauseLeftMs: targetPauses.leftMs,
    onAnswerHead: (target, head) => noteRelayedStatements(head, target, context),
    onResult: result => metrics.relaysServed.inc({ result }),
    onOpenCount: count => metrics.relaysOpen.set(count)
  })
  const checkTarget = createTargetCheck({ links, runtime })
  const context: GatewayContext = {
    fleet,
    loadTracker,
    suspicions,
    budget,
    streams: new Set(),
    control,
    links,
    targetLimits,
    targetPauses,
    answerBytes: createByteBudget(),
    requestBytes: createByteBudget(),
    answerPacer: createAnswerPacer(),
    inputSlicer: createInputSlicer(runtime),
    costs: createCostModel({ runtime }),
    durations: createDurationModel({ runtime }),
    slowdowns,
    crashEvidence,
    tellPeers: exchange.sendNow,
    checkTarget,
    hasCrashed: createCrashDetector({ checkTarget }),
    format,
    runtime,
    log,
    metrics,
    loadAgeMs: exchange.loadAgeMs,
    hostCount: exchange.hostCount,
    queueLengths: () => new Map([...dispatchers].map(([service, dispatcher]) => [service, dispatcher.queueLength()])),
    checkCoverage: createCoverageCheck({ fleet, suspicions, runtime }),
    roomCheck: createRoomCheck(),
    dispatcherOf,
    isDraining: () => drainingSinceMs !== undefined,
    graceLeftMs: () => drainingSinceMs === undefined ? undefined : drainingSinceMs + settings.graceMs - EXIT_RESERVE_MS - runtime.monotonicMs(),
    isOtherHostReady: () => exchange.peers().some(({ digest }) => !digest.isImpaired && digest.configurationVersion >= 0),
    drainingForMs: () => drainingSinceMs === undefined ? undefined : Math.round(runtime.monotonicMs() - drainingSinceMs),
    targetsAgeMs: () => Math.min(follower.targetsAgeMs(), readerFollower.ageMs())
  }
  fleet.onChange(() => {
    const targetIds = new Set(fleet.targets().map(target => target.id))
    suspicions.retain(targetIds)
    slowdowns.retain(targetIds)
    targetLimits.retain(targetIds)
    targetPauses.forgetRestarted(fleet.targets())
  })

  const logError = (error: unknown, fields: EventFields = {}): void => log.emit('unexpectedError', { ...fields, cause: error instanceof Error ? error.stack : String(error) })
  const handler = createCallHandler(context, { ownDomain: settings.failureDomain, isAccepting: () => !hasBalancerLagPassed(), endSignal: callsController.signal })
  const callers = resources.use(await listen(async (request, response) => {
    const open: OpenRequest = { request: '', response, mayHaveRun: false }
    const task = handler(request, response, open)
    calls.track(open, task)
    await task.catch(error => {
      if (isUnanswered(open)) reportUnanswered(open, context, { cause: 'error', error, hasFinalLine: response.writableEnded })
      else logError(error, { request: open.request })
      throw error
    })
    const isForgotten = open.call !== undefined && !response.writableEnded && isUnanswered(open)
    if (isForgotten) reportUnanswered(open, context, { cause: 'error', error: 'call ended without an answer', hasFinalLine: true })
  }, {
    ...settings.callerAddress,
    headerSizeBytes: HEADER_SIZE_BYTES,
    requestDeadlineMs: REQUEST_DEADLINE_MS,
    idleTimeoutMs: IDLE_TIMEOUT_MS,
    linger: { forMs: LINGER_MS, runtime },
    onConnection: context.inputSlicer.slice,
    isContinueSentByHandler: false
  }))
  resources.use(await listen(async (_request, response) => {
    response.writeHead(isReady() ? 200 : 503, { 'content-length': '0' })
    response.end()
  }, { ...settings.readinessAddress, onHandlerError: logError }))
  const internal = createInternalHandler({ fleet, metrics, runtime, updateMetrics: () => updateGauges(context), isUsable: id => !suspicions.isUnfit(id), explainPlace: query => explainPlace(query, settings.failureDomain, context) })
  resources.use(await listen(internal, { ...settings.internalAddress, onConnect: relayHandler.handle, onHandlerError: logError }))
  // Disposed of before the port, which waits for its connections to close.
  resources.use(relayHandler)
  resources.use(await listen(internal, { ...settings.metricsAddress, onHandlerError: logError }))
  log.emit('processStarted', { address: callers.address, failureDomain: settings.failureDomain })

  const stalls = watchStalls({ runtime, log, signal, onDelay: lateMs => metrics.loopDelaySeconds.observe(lateMs / MS_PER_S) })
  registerHost(settings, { exchange, store, storeEra: fleet.era, runtime, log, signal })
  discoverPeers({ exchange, store, runtime, log, signal })
  keepCrashEvidence({ store, evidence: crashEvidence, isReader, runtime, log, signal })
  rerouteStreams(context, { signal, onSuspicion: exchange.sendNow })
  runPlacement({ fleet, suspicions, pauseLeftMs: targetPauses.leftMs, control, runtime, log, metrics, signal, fencing: election.fencing, onLoaded: exchange.sendNow })
  repeatTask(election.step, { intervalMs: LEASE_RENEWAL_MS, task: 'lease', runtime, log, signal })

  function dispatcherOf (service: string): Dispatcher<Reservation> {
    const known = dispatchers.get(service)
    if (known !== undefined) return known
    const sharing = {
      service,
      publish: loadTracker.setOwn,
      sumOf: loadTracker.loadOf,
      ranks: () => listRanks(fleet.configuration(), service),
      ageMs: exchange.loadAgeMs,
      hostCount: exchange.hostCount,
      isCutOff: () => exchange.peers().length === 0 && exchange.recentHostCount() > 1
    }
    const dispatcher = createDispatcher<Reservation>({ runtime, sharing })
    dispatchers.set(service, dispatcher)
    return dispatcher
  }

  function buildState (): HostState {
    return {
      host: settings.host,
      failureDomain: settings.failureDomain,
      startedMs,
      statePort: settings.internalAddress.port,
      configurationVersion: fleet.configuration()?.version ?? -1,
      targetsEra: fleet.era(),
      targetsRevision: fleet.revision(),
      targetsFingerprint: fleet.fingerprint(),
      isStoreConnected: follower.isConnected() && drainingSinceMs === undefined,
      leaseFencing: election.fencing() ?? 0,
      isImpaired: links.isImpaired() || drainingSinceMs !== undefined
    }
  }

  /** Hosts whose state this one follows: its parent, or the roots that read the store. */
  function listStateSources (): StoreReader[] {
    const parent = exchange.parent()
    const sources = parent !== undefined ? [parent] : exchange.otherRoots().filter(root => root.digest.isStoreConnected)
    return sources.map(({ ip, digest }) => ({ address: `${ip}:${digest.statePort}`, failureDomain: digest.failureDomain }))
  }

  function applyNotices (notices: Notices): void {
    notices.suspicions.forEach(suspicions.applyPeerSuspicion)
    notices.limits.forEach(targetLimits.applyPeerLimit)
    for (const { targetId, bornMs } of notices.leaving) noteLeavingByPeer({ id: targetId, bornMs })
    for (const seen of notices.seenLayers) if (!areLayersKnown(seen)) fleet.recordSeenLayers(seen)
  }

  function noteLeavingByPeer (target: Pick<Target, 'id' | 'bornMs'>): void {
    if (fleet.recordLeaving(target)) log.emit('targetLeaving', { leavingIds: [target.id], source: 'peer' })
  }

  function areLayersKnown (seen: SeenLayers): boolean {
    const target = fleet.targets().find(candidate => candidate.id === seen.targetId)
    return target?.layers?.from === seen.layers?.from && target?.layers?.to === seen.layers?.to
  }

  const isReady = (): boolean => drainingSinceMs === undefined && fleet.configuration() !== undefined && fleet.revision() >= 0

  /** A timer may fire early as well as late, so the clock alone does not tell. */
  const hasBalancerLagPassed = (): boolean => hasPortClosed || (drainingSinceMs !== undefined && runtime.monotonicMs() - drainingSinceMs > settings.balancerLagMs)

  /**
   * Ends the open calls, each with the answer that is true of it, and gives callers some time to
   * receive them. Logs the calls that are cut all the same.
   */
  async function endOpenCalls (): Promise<void> {
    const openCalls = calls.size()
    callsController.abort(new DeadlineError(settings.graceMs))
    using flushDeadline = withDeadline(FLUSH_TIMEOUT_MS, { runtime })
    await calls.whenIdle(flushDeadline.signal)
    const unanswered = calls.list().filter(isUnanswered)
    const listed = unanswered.slice(0, MAX_CUT_LINES)
    log.emit('drainCut', { openCalls, unanswered: unanswered.length, notListed: unanswered.length - listed.length })
    for (const open of listed) reportUnanswered(open, context, { cause: 'shutdown', hasFinalLine: open.response.writableEnded })
    metrics.answersCut.inc({ cause: 'shutdown' }, unanswered.length - listed.length)
  }

  return {
    async drain () {
      // The grace period began when the signal was sent, not when the process could handle it.
      drainingSinceMs = stalls.lastTurnMs()
      const lateMs = runtime.monotonicMs() - drainingSinceMs
      log.emit('processDraining', { openCalls: calls.size(), lateMs: Math.round(lateMs) })
      using drainDeadline = withDeadline(Math.max(0, settings.graceMs - EXIT_RESERVE_MS - lateMs), { runtime })
      await sleep(Math.max(0, settings.balancerLagMs - lateMs), { runtime, signal: drainDeadline.signal })
      hasPortClosed = true
      callers.stopAccepting()
      await calls.whenIdle(drainDeadline.signal)
      if (calls.size() > 0) await endOpenCalls()
      await callers.whenClosed(drainDeadline.signal)
      await relayHandler.whenIdle(drainDeadline.signal)
      log.emit('processStopped')
    },
    async [Symbol.asyncDispose] () {
      controller.abort()
      await resources[Symbol.asyncDispose]()
    }
  }
}
