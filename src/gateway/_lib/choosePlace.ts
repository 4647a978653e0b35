/**
 * Places for requests: a path over engines with room, or the least busy target of a plain
 * service.
 */
import type { Service, Target } from '../../fleet/types.js'
import { choosePath, type RequestSize } from '../../path/choosePath/index.js'
import { jitterPathOptions } from '../../path/jitterPathOptions/index.js'
import type { GatewayParts, Place } from '../types.js'

/** Weight of a request in progress against a failure domain other than the host's, when targets are compared. */
const OTHER_DOMAIN_LOAD = 0.5

/** Crossings of links that are allowed where no usual path covers the model. */
const ANY_CROSSINGS = 4

/** Memory that a plain target's request counts for; only their number matters. */
const PLAIN_SIZE: RequestSize = { promptTokens: 0, outputTokens: 0 }

/** A place on engines, or `undefined` while no path has room. */
export function takePath (service: Service, size: RequestSize, excluded: ReadonlySet<string>, ownDomain: string, parts: GatewayParts): Place | undefined {
  const model = service.model!
  const { fleet, loadTracker, suspicions, runtime } = parts
  const engines = fleet.servingTargets(service.name).filter(target => !excluded.has(target.id))
  const crossings = parts.checkCoverage(service).isWithinCrossingLimit ? {} : { maxCrossings: ANY_CROSSINGS }
  const options = { model, loadOf: loadTracker.loadOf, slownessOf: suspicions.slownessOf, ownDomain, ...crossings }
  const jitter = jitterPathOptions(suspicions.slownessOf, { loadAgeMs: parts.loadAgeMs(), random: runtime.random })
  const chosen = choosePath(engines, size, { ...options, ...jitter }) ?? choosePath(engines, size, options)
  if (chosen === undefined) return undefined
  const claim = loadTracker.claim(chosen.path, size)
  return { target: chosen.path[0]!.target, path: chosen.path, [Symbol.dispose]: () => claim[Symbol.dispose]() }
}

/** The least busy target of a plain service that is not excluded. */
export function takeTarget (service: Service, excluded: ReadonlySet<string>, ownDomain: string, parts: GatewayParts): Place | undefined {
  const { fleet, loadTracker, suspicions } = parts
  const cost = (target: Target): number => {
    const otherDomain = target.failureDomain === ownDomain ? 0 : OTHER_DOMAIN_LOAD
    return (1 + loadTracker.loadOf(target.id).sequences + otherDomain) * suspicions.slownessOf(target.id)
  }
  const candidates = fleet.servingTargets(service.name).filter(candidate => !excluded.has(candidate.id))
  const usable = candidates.filter(candidate => Number.isFinite(cost(candidate))).sort((a, b) => cost(a) - cost(b))
  // A target that merely refused a moment ago is better than none.
  const target = usable[0] ?? candidates.find(candidate => !suspicions.isUnfit(candidate.id))
  if (target === undefined) return undefined
  const claim = loadTracker.claim([{ target, from: 0, to: 1 }], PLAIN_SIZE)
  return { target, path: undefined, [Symbol.dispose]: () => claim[Symbol.dispose]() }
}
