/**
 * Moves streams off engines that are down or leaving. When one engine of a path hangs, every
 * stream through it stalls. A pause on any stream therefore triggers connection probes to the
 * engines of its path, and streams through an engine that does not respond get a new path. When
 * the first engine of a path is down, the exchange with it is closed and the call resumes the stream elsewhere.
 */
import type { Path, Target } from '../../fleet/types.js'
import { choosePath } from '../../path/choosePath/index.js'
import { repeatTask } from '../../runtime/repeatTask/index.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { ActiveStream, GatewayContext } from '../types.js'

/** Interval between checks, in milliseconds; shorter than the shortest pause that counts as a stall. */
const CHECK_INTERVAL_MS = 25

/** Pause of a running stream after which its engines are probed: a multiple of its mean pause, clamped to bounds in milliseconds. */
const PAUSE_FACTOR = 4
const PAUSE_MIN_MS = 40
const PAUSE_MAX_MS = 110

/** The same before the first event, while the engines process the prompt. */
const FIRST_EVENT_PAUSE_MS = 400

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

/** Largest random surcharge on a link, as a factor: spreads hosts that reroute streams at the same moment over the links. */
const MAX_LINK_BIAS = 3

/** Part of the gateway's context that rerouting uses. */
export type RerouteContext = Pick<GatewayContext, 'fleet' | 'suspicions' | 'loadTracker' | 'streams' | 'control' | 'links' | 'hostCount' | 'runtime' | 'log' | 'metrics'>

/** Checks the active streams until the signal aborts; `onSuspicion` is called when a target is found unreachable. */
export async function rerouteStreams (context: RerouteContext, options: { signal: AbortSignal, onSuspicion: () => void }): Promise<void> {
  const { signal, onSuspicion } = options
  const { runtime, streams, suspicions, control, links, fleet, log } = context
  const lastProbedMs = new Map<string, number>()

  await repeatTask(check, { intervalMs: CHECK_INTERVAL_MS, task: 'rescue', runtime, log, signal })

  function check (): void {
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
    let moves = 0
    for (const stream of streams) {
      if (stream.isRerouting) continue
      const isLost = stream.path.some(stage => isLostFor(stream, stage.target))
      const isLeaving = !isLost && stream.path.slice(1).some(stage => !fleet.isServing(stage.target))
      if (isLost) reroute(stream, 'engine down')
      else if (isLeaving && stream.hasStarted && moves++ < MOVES_PER_CHECK) reroute(stream, 'engine leaving')
    }
  }

  /** An engine that refuses new requests, here or at a peer, may only be full: streams that still progress through it are not lost. */
  function isLostFor (stream: ActiveStream, { id }: Target): boolean {
    if (suspicions.isFoundUnfit(id)) return true
    const mayOnlyBeFull = id === stream.path[0]!.target.id && !suspicions.isUnfit(id)
    const limitMs = mayOnlyBeFull ? FIRST_ENGINE_PAUSE_MS : pauseLimitMs(stream)
    return suspicions.isDown(id) && runtime.monotonicMs() - stream.lastProgressMs >= limitMs
  }

  async function reroute (stream: ActiveStream, cause: 'engine down' | 'engine leaving'): Promise<void> {
    const first = stream.path[0]!
    if (isLostFor(stream, first.target)) {
      // An engine that still sends events is not down, whatever a connect or a peer says.
      const isProgressing = stream.hasStarted && runtime.monotonicMs() - stream.lastProgressMs < pauseLimitMs(stream)
      if (!isProgressing && stream.mayInterrupt()) stream.interrupt('first engine down')
      return
    }
    const path = chooseNewPath(stream, cause)
    if (path === undefined) return
    stream.isRerouting = true
    const previousPath = stream.path
    stream.assignPath(path)
    const result = await control.repath(first.target, stream.requestId, path)
    log.emit('pathReplaced', { request: stream.requestId, cause, result: result.kind, path: path.map(stage => `${stage.target.id} ${stage.from}-${stage.to}`) })
    context.metrics.orders.inc({ operation: 'repath', result: result.kind })
    if (result.kind === 'done' || result.kind === 'begun') stream.lastProgressMs = runtime.monotonicMs()
    else if (cause === 'engine leaving') stream.assignPath(previousPath)
    else if (stream.mayInterrupt()) stream.interrupt(`path could not be replaced: ${result.kind}`)
    else {
      stream.assignPath(previousPath)
      await sleep(REPATH_INTERVAL_MS, { runtime, signal })
    }
    stream.isRerouting = false
  }

  /**
   * Chooses a path with the same first stage, over engines with spare memory. To replace a dead
   * engine, any path will do, if need be an overcommitted one; a leaving engine still serves, so
   * its replacement must not add crossings between failure domains.
   */
  function chooseNewPath (stream: ActiveStream, cause: 'engine down' | 'engine leaving'): Path | undefined {
    const { service, size, path } = stream
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
      return keptIds.has(id) && !Number.isFinite(slowness) ? 1 : slowness
    }
    const options = { model: service.model!, loadOf: context.loadTracker.loadOf, slownessOf, currentPath: path, linkCostFactor, maxCrossings: MAX_CROSSINGS }
    const chosen = choosePath(engines, size, options)?.path
    if (cause === 'engine leaving') return chosen !== undefined && countCrossings(chosen) <= countCrossings(path) ? chosen : undefined
    return chosen ?? choosePath(engines, size, { ...options, isOvercommitted: true })?.path
  }
}

function pauseLimitMs (stream: ActiveStream): number {
  if (!stream.hasStarted) return FIRST_EVENT_PAUSE_MS
  return Math.min(PAUSE_MAX_MS, Math.max(PAUSE_MIN_MS, PAUSE_FACTOR * stream.meanPauseMs))
}

function countCrossings (path: Path): number {
  return path.slice(1).filter((stage, index) => stage.target.failureDomain !== path[index]!.target.failureDomain).length
}
