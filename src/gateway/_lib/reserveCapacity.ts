/**
 * Reserves paths over engines with enough memory, and says when targets that hold requests back
 * may get some again.
 */
import type { Service, Target } from '../../fleet/types.js'
import { choosePath, type RequestSize } from '../../path/choosePath/index.js'
import { jitterPathOptions } from '../../path/jitterPathOptions/index.js'
import type { GatewayContext, Reservation } from '../types.js'

/** Links between failure domains that a path may cross when no path within the usual limit covers the model. */
const FALLBACK_MAX_CROSSINGS = 4

/** Factor on the expected time of an engine in a pause as a later stage of a path: it does not get the request itself, but it has no room to spare. */
const PAUSED_SLOWNESS = 2

/**
 * Reserves a path over engines, or returns `undefined` while no path has enough memory. Queued requests
 * ask for it many times a second; the room tells most of those that fail from the others without a search.
 */
export function reservePath (service: Service, size: RequestSize, excluded: ReadonlySet<string>, ownDomain: string, context: GatewayContext): Reservation | undefined {
  const model = service.model!
  const { fleet, loadTracker, suspicions, targetLimits, targetPauses, runtime } = context
  const serving = fleet.servingTargets(service.name)
  const engines = excluded.size === 0 ? serving : serving.filter(target => !excluded.has(target.id))
  const crossings = context.checkCoverage(service).isWithinCrossingLimit ? {} : { maxCrossings: FALLBACK_MAX_CROSSINGS }
  const slownessOf = (targetId: string): number => suspicions.slownessOf(targetId) * (targetPauses.leftMs(targetId) > 0 ? PAUSED_SLOWNESS : 1)
  const options = { model, loadOf: loadTracker.loadOf, slownessOf, mayBeFirst: (targetId: string) => mayTake(targetId, context), ownDomain, ...crossings }
  // While nothing is queued most searches succeed, and a look at the room would cost as much as it spares.
  const room = context.dispatcherOf(service.name).queueLength() === 0 ? undefined : context.roomCheck.look(service.name, serving, options)
  if (room?.mayFit(size) === false) return undefined
  const jitter = jitterPathOptions(slownessOf, { loadAgeMs: context.loadAgeMs(), random: runtime.random })
  const varied = room?.mayFitWithin(size, jitter.cacheShare) === false ? undefined : choosePath(engines, size, { ...options, ...jitter })
  const chosen = varied ?? choosePath(engines, size, options)
  if (chosen === undefined && excluded.size === 0) room?.noteFailed(size)
  if (chosen === undefined) return undefined
  targetLimits.take(chosen.path[0]!.target.id)
  targetPauses.take(chosen.path[0]!.target.id)
  const claim = loadTracker.claim(chosen.path, size)
  return { target: chosen.path[0]!.target, path: chosen.path, [Symbol.dispose]: () => claim[Symbol.dispose]() }
}

type StatementContext = Pick<GatewayContext, 'targetLimits' | 'targetPauses'>

/** Whether the target may be sent a request now, by what it said itself. */
export function mayTake (targetId: string, { targetLimits, targetPauses }: StatementContext): boolean {
  return targetLimits.mayTake(targetId) && targetPauses.mayTake(targetId)
}

/** Whether a target gets no request now only because of what it said: it names a rate, or asked for a pause. */
export function isAnyHeldBack (service: Service, excluded: ReadonlySet<string>, { fleet, ...context }: StatementContext & Pick<GatewayContext, 'fleet'>): boolean {
  return fleet.servingTargets(service.name).some(({ id }) => context.targetPauses.leftMs(id) > 0 || (!excluded.has(id) && !mayTake(id, context)))
}

/**
 * Time until the first target that may get a request has ended its pause, in milliseconds: 0 if one
 * is in none or no target is up, infinite if all of them are excluded.
 */
export function pauseLeftMs (service: Service, excluded: ReadonlySet<string>, { fleet, suspicions, targetPauses }: Pick<GatewayContext, 'fleet' | 'suspicions' | 'targetPauses'>): number {
  // Asked for each queued call many times a second.
  if (excluded.size === 0 && targetPauses.isEmpty()) return 0
  const canBeFirst = ({ id, layers }: Target): boolean => !suspicions.isDown(id) && (service.model === undefined || layers?.from === 0)
  const targets = fleet.servingTargets(service.name).filter(canBeFirst)
  if (targets.length === 0) return 0
  return Math.min(...targets.filter(({ id }) => !excluded.has(id)).map(({ id }) => targetPauses.leftMs(id)))
}
