/**
 * Moves streams off engines that are down or leaving. When one engine of a path hangs, every
 * stream through it stalls. A pause on any stream therefore triggers connection probes to the
 * engines of its path, and streams through an engine that does not respond get a new path. When
 * the first engine of a path is down, the exchange with it is closed and the call resumes the stream elsewhere.
 */
import type { Path, Target } from '../../fleet/types.js'
import { choosePath, isSameStage } from '../../path/choosePath/index.js'
import { jitterPathOptions } from '../../path/jitterPathOptions/index.js'
import { createMoveRecord } from '../../room/createMoveRecord/index.js'
import { createPauseLimits } from '../../room/createPauseLimits/index.js'
import { planMoves } from '../../room/planMoves/index.js'
import { repeatTask } from '../../runtime/repeatTask/index.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { ActiveStream, GatewayContext } from '../types.js'

/** Interval between checks, in milliseconds; shorter than the shortest pause that counts as a stall. */
const CHECK_INTERVAL_MS = 25

/** Pause after which a stream leaves a first engine that is reachable but refuses requests, in milliseconds: interrupting it costs an attempt, and a full engine is slow. */
const FIRST_ENGINE_PAUSE_MS = 400

/** Shortest time between two probes of one engine by a host, in milliseconds, and number of hosts beyond which it grows with them: hosts tell each other what they find. */
const PROBE_INTERVAL_MS = 400
const MAX_PROBING_HOSTS = 8

/** Pause before another path is ordered for a stream that may not be interrupted, in milliseconds; an engine drops work that depends on a dead one after seconds. */
const REPATH_INTERVAL_MS = 250

/** Streams moved off leaving engines in one check; limited because each move processes the stream's tokens again. */
const MOVES_PER_CHECK = 4

/** Links between failure domains that the new path of a stream may cross when there is no better one. */
const MAX_CROSSINGS = 3

/** Share of an engine's cache that moved streams may be planned into; a begun answer takes the reserve for others. */
const MOVE_CACHE_SHARE = 1

/** Largest random surcharge on a link, as a factor: spreads hosts that reroute streams at the same moment over the links. */
const MAX_LINK_BIAS = 3

/** Part of the gateway's context that rerouting uses. */
export type RerouteContext = Pick<GatewayContext, 'fleet' | 'suspicions' | 'loadTracker' | 'streams' | 'control' | 'links' | 'hostCount' | 'runtime' | 'log' | 'metrics'>

/** Checks the active streams until the signal aborts; `onSuspicion` is called when a target is found unreachable. */
export async function rerouteStreams (context: RerouteContext, options: { signal: AbortSignal, onSuspicion: () => void }): Promise<void> {
  const { signal, onSuspicion } = options
  const { runtime, streams, suspicions, control, links, fleet, log } = context
  const lastProbedMs = new Map<string, number>()
  const moveRecord = createMoveRecord({ runtime, hostCount: context.hostCount })
  const { observe, limitMs: pauseLimitMs } = createPauseLimits<ActiveStream>()
  /** Moves of a stream that engines refused since its last event. */
  const refusalsOf = new WeakMap<ActiveStream, number>()

  await repeatTask(check, { intervalMs: CHECK_INTERVAL_MS, task: 'rescue', runtime, log, signal })

  function check (): void {
    if (streams.size === 0) return
    observe(streams)
    const targetsToProbe = listTargetsToProbe()
    for (const target of targetsToProbe) probe(target)
    rerouteAffected()
  }

  function listTargetsToProbe (): Target[] {
    const nowMs = runtime.monotonicMs()
    const intervalMs = PROBE_INTERVAL_MS * Math.max(1, context.hostCount() / MAX_PROBING_HOSTS)
    const targets = new Map<string, Target>()
    for (const stream of streams) {
      const limitMs = pauseLimitMs(stream)
      if (nowMs - stream.lastProgressMs < limitMs) continue
      for (const { target } of stream.path) {
        const isDue = nowMs - (lastProbedMs.get(target.id) ?? -Infinity) >= intervalMs
        if (isDue && !suspicions.hasProgressed(target.id, limitMs)) targets.set(target.id, target)
      }
    }
    for (const id of targets.keys()) lastProbedMs.set(id, nowMs)
    return [...targets.values()]
  }

  async function probe (target: Target): Promise<void> {
    const check = await links.check(target)
    if (check === 'relayed') leaveLostLink(target)
    if (check !== 'unreachable') return
    log.emit('targetSuspected', { target: target.id, address: target.address, cause: 'connect failed after a pause' })
    suspicions.note(target.id, 'unreachable')
    onSuspicion()
    rerouteAffected()
  }

  /** Ends the exchanges with a target that go over this host's own link to it, if they have paused; the calls go on through a peer. */
  function leaveLostLink ({ id }: Target): void {
    for (const stream of streams) {
      const isPaused = runtime.monotonicMs() - stream.lastProgressMs >= pauseLimitMs(stream)
      if (stream.path[0]!.target.id === id && isPaused && !stream.isRelayed() && stream.mayInterrupt()) stream.leaveLink()
    }
  }

  function rerouteAffected (): void {
    // Most checks find no engine down or leaving.
    const affectedIds = listAffectedIds()
    if (affectedIds.size === 0) return
    let leavingMoves = 0
    const stranded = new Map<string, ActiveStream>()
    for (const stream of streams) {
      if (stream.isRerouting || !stream.path.some(stage => affectedIds.has(stage.target.id))) continue
      const isLost = stream.path.some(stage => isLostFor(stream, stage.target))
      const isLeaving = !isLost && stream.path.slice(1).some(stage => !fleet.isServing(stage.target))
      if (isLost && isLostFor(stream, stream.path[0]!.target)) leaveFirstEngine(stream)
      else if (isLost) stranded.set(stream.requestId, stream)
      else if (isLeaving && stream.hasStarted && leavingMoves++ < MOVES_PER_CHECK) {
        const path = chooseNewPath(stream, 'engine leaving')
        if (path !== undefined) move(stream, path, 'engine leaving')
      }
    }
    if (stranded.size > 0) moveStranded(stranded)
  }

  /** Engines of streams in progress that may be lost or are leaving. */
  function listAffectedIds (): Set<string> {
    const targets = new Set<Target>()
    for (const { path } of streams) for (const { target } of path) targets.add(target)
    return new Set([...targets].filter(target => suspicions.isDown(target.id) || !fleet.isServing(target)).map(({ id }) => id))
  }

  /** Moves streams off lost engines, as many as the engines can take now. */
  function moveStranded (stranded: ReadonlyMap<string, ActiveStream>): void {
    const nowMs = runtime.monotonicMs()
    const described = [...stranded].map(([id, stream]) => ({ id, tokens: stream.size.promptTokens + stream.size.outputTokens, pausedMs: nowMs - stream.lastProgressMs, refusals: refusalsOf.get(stream) ?? 0, mayResume: stream.mayInterrupt() }))
    const moves = planMoves(described, {
      choosePath ({ id }) {
        const stream = stranded.get(id)!
        const path = chooseNewPath(stream, 'engine down')
        if (path !== undefined) move(stream, path, 'engine down')
        return path
      }
    })
    for (const { kind, id } of moves) if (kind === 'resume') stranded.get(id)!.interrupt('path could not be replaced')
  }

  function leaveFirstEngine (stream: ActiveStream): void {
    // An engine that still sends events is not down, whatever a connect or a peer says.
    const isProgressing = stream.hasStarted && runtime.monotonicMs() - stream.lastProgressMs < pauseLimitMs(stream)
    if (!isProgressing && stream.mayInterrupt()) stream.interrupt('first engine down')
  }

  /** An engine that refuses new requests, here or at a peer, may only be full: streams that still progress through it are not lost. */
  function isLostFor (stream: ActiveStream, { id }: Target): boolean {
    if (suspicions.isFoundUnfit(id)) return true
    const mayOnlyBeFull = id === stream.path[0]!.target.id && !suspicions.isUnfit(id)
    const limitMs = mayOnlyBeFull ? FIRST_ENGINE_PAUSE_MS : pauseLimitMs(stream)
    return suspicions.isDown(id) && runtime.monotonicMs() - stream.lastProgressMs >= limitMs
  }

  async function move (stream: ActiveStream, path: Path, cause: 'engine down' | 'engine leaving'): Promise<void> {
    const previousPath = stream.path
    const newStages = path.filter(stage => !previousPath.some(kept => isSameStage(kept, stage)))
    const usedBefore = new Map(newStages.map(({ target }) => [target.address, { id: target.id, usedTokenLayers: context.loadTracker.loadOf(target.id).tokenLayers }]))
    stream.isRerouting = true
    moveRecord.noteMove(path, previousPath, stream.size.promptTokens + stream.size.outputTokens, stream.service.model!)
    stream.assignPath(path)
    const result = await control.repath(path[0]!.target, stream.requestId, path)
    log.emit('pathReplaced', { request: stream.requestId, cause, result: result.kind, path: path.map(stage => `${stage.target.id} ${stage.from}-${stage.to}`) })
    context.metrics.orders.inc({ operation: 'repath', result: result.kind })
    if (result.kind === 'refused') {
      const blamed = result.faultyAddress === undefined ? undefined : usedBefore.get(result.faultyAddress)
      for (const { id, usedTokenLayers } of blamed === undefined ? usedBefore.values() : [blamed]) moveRecord.noteRefused(id, usedTokenLayers)
    }
    if (result.kind === 'done' || result.kind === 'begun') {
      stream.lastProgressMs = runtime.monotonicMs()
      refusalsOf.delete(stream)
    } else if (cause === 'engine leaving') stream.assignPath(previousPath)
    else if (result.kind === 'unknown' && stream.mayInterrupt()) stream.interrupt('path could not be replaced: unknown')
    else {
      stream.assignPath(previousPath)
      refusalsOf.set(stream, (refusalsOf.get(stream) ?? 0) + 1)
      if (!stream.mayInterrupt()) await sleep(REPATH_INTERVAL_MS, { runtime, signal })
    }
    stream.isRerouting = false
  }

  /**
   * Chooses a path with the same first stage, over engines with spare memory that can take a move now. Only
   * a stream that could not go on elsewhere gets an overcommitted one if need be; a leaving engine
   * still serves, so its replacement must not add crossings between failure domains.
   */
  function chooseNewPath (stream: ActiveStream, cause: 'engine down' | 'engine leaving'): Path | undefined {
    const { service, size, path } = stream
    const { loadOf } = context.loadTracker
    const engines = fleet.servingTargets(service.name)
    const biases = new Map<string, number>()
    const linkCostFactor = (link: string): number => {
      const bias = biases.get(link) ?? 1 + runtime.random() * MAX_LINK_BIAS
      biases.set(link, bias)
      return bias
    }
    const keptIds = new Set(path.filter(stage => !isLostFor(stream, stage.target)).map(stage => stage.target.id))
    const slownessOf = (id: string): number => {
      const slowness = suspicions.slownessOf(id)
      if (keptIds.has(id)) return Number.isFinite(slowness) ? slowness : 1
      return moveRecord.mayTake(id, loadOf(id).tokenLayers) ? slowness : Infinity
    }
    // Hosts move streams at the same moment, before any hears of the others' moves.
    const varied = jitterPathOptions(slownessOf, { loadAgeMs: Infinity, random: runtime.random })
    const options = { model: service.model!, loadOf, slownessOf: varied.slownessOf, currentPath: path, linkCostFactor, maxCrossings: MAX_CROSSINGS }
    if (cause === 'engine leaving') {
      const chosen = choosePath(engines, size, options)?.path
      return chosen !== undefined && countCrossings(chosen) <= countCrossings(path) ? chosen : undefined
    }
    const chosen = choosePath(engines, size, { ...options, cacheShare: MOVE_CACHE_SHARE })?.path
    return chosen ?? (stream.mayInterrupt() ? undefined : choosePath(engines, size, { ...options, isOvercommitted: true })?.path)
  }
}

function countCrossings (path: Path): number {
  return path.slice(1).filter((stage, index) => stage.target.failureDomain !== path[index]!.target.failureDomain).length
}
