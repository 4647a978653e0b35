/**
 * Moves streams off engines that are dead or leaving. Answers the load pattern in which one
 * engine of a path falls silent and every stream through it stalls: a pause on any stream is
 * followed by connects to the engines of its path, and streams through one that does not answer
 * get a new path, or go on elsewhere when their first engine is lost.
 */
import type { Path, Target } from '../../fleet/types.js'
import { choosePath } from '../../path/choosePath/index.js'
import { repeatTask } from '../../runtime/repeatTask/index.js'
import type { ActiveStream, GatewayParts } from '../types.js'

/** Interval of the checks; a fraction of the pause that is still on time. */
const CHECK_MS = 25

/** Pause of a running stream after which its engines are checked: a multiple of its mean pause, within bounds in milliseconds. */
const PAUSE_FACTOR = 4
const PAUSE_MIN_MS = 40
const PAUSE_MAX_MS = 110

/** The same before the first event, when the prompt is read. */
const FIRST_PAUSE_MS = 400

/** Shortest time between two checks of one engine, in milliseconds. */
const PROBE_INTERVAL_MS = 400

/** Streams moved off leaving engines in one check; each move reads its tokens again. */
const MOVES_PER_CHECK = 4

/** Crossings of links that the path of a rescued stream may have when there is no better one. */
const RESCUE_CROSSINGS = 3

/** Largest random surcharge on a link, as a factor: hosts that rescue streams at the same moment share the links between them. */
const LINK_BIAS = 3

/** What rescuing works with. */
export type RescueParts = Pick<GatewayParts, 'fleet' | 'suspicions' | 'loadTracker' | 'streams' | 'control' | 'runtime' | 'log' | 'metrics'>

/** Rescues streams until the signal aborts. */
export async function rescueStreams (parts: RescueParts, options: { signal: AbortSignal, onFinding: () => void }): Promise<void> {
  const { signal, onFinding } = options
  const { runtime, streams, suspicions, control, fleet, log } = parts
  const probedMs = new Map<string, number>()

  await repeatTask(check, { intervalMs: CHECK_MS, task: 'rescue', runtime, log, signal })

  function check (): void {
    const suspects = listSuspects()
    for (const target of suspects) probe(target)
    moveStreams()
  }

  function listSuspects (): Target[] {
    const nowMs = runtime.monotonicMs()
    const targets = new Map<string, Target>()
    for (const stream of streams) {
      const limitMs = pauseLimitMs(stream)
      if (nowMs - stream.progressedMs < limitMs) continue
      for (const { target } of stream.path) {
        const isDue = nowMs - (probedMs.get(target.id) ?? -Infinity) >= PROBE_INTERVAL_MS
        if (isDue && !suspicions.hasProgressed(target.id, limitMs)) targets.set(target.id, target)
      }
    }
    for (const id of targets.keys()) probedMs.set(id, nowMs)
    return [...targets.values()]
  }

  async function probe (target: Target): Promise<void> {
    if (await control.isReachable(target)) return
    log.emit('targetSuspected', { target: target.id, address: target.address, cause: 'connect failed after a pause' })
    suspicions.note(target.id, 'unreachable')
    onFinding()
    moveStreams()
  }

  function moveStreams (): void {
    let moves = 0
    for (const stream of streams) {
      if (stream.isBeingMoved) continue
      const isLost = stream.path.some(stage => isLostTo(stream, stage.target))
      const isLeaving = !isLost && stream.path.slice(1).some(stage => !fleet.isServing(stage.target))
      if (isLost) move(stream, 'engine down')
      else if (isLeaving && stream.hasStarted && moves++ < MOVES_PER_CHECK) move(stream, 'engine leaving')
    }
  }

  /** An engine that refuses others may only be full: streams that go on through it are not lost. */
  function isLostTo (stream: ActiveStream, { id }: Target): boolean {
    const isPaused = runtime.monotonicMs() - stream.progressedMs >= pauseLimitMs(stream)
    return suspicions.isUnfit(id) || (isPaused && suspicions.isDown(id))
  }

  async function move (stream: ActiveStream, cause: 'engine down' | 'engine leaving'): Promise<void> {
    const first = stream.path[0]!
    if (isLostTo(stream, first.target)) return stream.abandon('first engine down')
    const path = choosePathFrom(stream, cause)
    if (path === undefined) return
    stream.isBeingMoved = true
    const before = stream.path
    stream.moveTo(path)
    const result = await control.repath(first.target, stream.requestId, path)
    log.emit('pathReplaced', { request: stream.requestId, cause, result: result.kind, path: path.map(stage => `${stage.target.id} ${stage.from}-${stage.to}`) })
    parts.metrics.orders.inc({ operation: 'repath', result: result.kind })
    if (result.kind === 'done' || result.kind === 'begun') stream.progressedMs = runtime.monotonicMs()
    else if (cause === 'engine leaving') stream.moveTo(before)
    else stream.abandon(`path could not be replaced: ${result.kind}`)
    stream.isBeingMoved = false
  }

  /**
   * A path with the same first stage, over engines with room. A dead engine is replaced by any
   * path there is; a leaving one, which still serves, by one that adds no crossing of domains.
   */
  function choosePathFrom (stream: ActiveStream, cause: 'engine down' | 'engine leaving'): Path | undefined {
    const { service, size, path } = stream
    const others = fleet.servingTargets(service.name)
    const biases = new Map<string, number>()
    const linkCostFactor = (link: string): number => {
      const bias = biases.get(link) ?? 1 + runtime.random() * LINK_BIAS
      biases.set(link, bias)
      return bias
    }
    const keptIds = new Set(path.filter(stage => !isLostTo(stream, stage.target)).map(stage => stage.target.id))
    const slownessOf = (id: string): number => {
      const slowness = suspicions.slownessOf(id)
      return keptIds.has(id) && !Number.isFinite(slowness) ? 1 : slowness
    }
    const options = { model: service.model!, loadOf: parts.loadTracker.loadOf, slownessOf, currentPath: path, linkCostFactor, maxCrossings: RESCUE_CROSSINGS }
    const chosen = choosePath(others, size, options)?.path
    if (cause === 'engine leaving') return chosen !== undefined && countCrossings(chosen) <= countCrossings(path) ? chosen : undefined
    return chosen ?? choosePath(others, size, { ...options, isOvercommitted: true })?.path
  }
}

function pauseLimitMs (stream: ActiveStream): number {
  if (!stream.hasStarted) return FIRST_PAUSE_MS
  return Math.min(PAUSE_MAX_MS, Math.max(PAUSE_MIN_MS, PAUSE_FACTOR * stream.meanPauseMs))
}

function countCrossings (path: Path): number {
  return path.slice(1).filter((stage, index) => stage.target.failureDomain !== path[index]!.target.failureDomain).length
}
