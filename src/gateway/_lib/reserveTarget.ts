/**
 * Reserves the least busy target of a plain service.
 */
import type { Service, Target } from '../../fleet/types.js'
import type { RequestSize } from '../../path/choosePath/index.js'
import type { GatewayContext, Reservation } from '../types.js'
import { mayTake } from './reserveCapacity.js'

/** Penalty for a target in another failure domain than the host's, in requests in progress. */
const OTHER_DOMAIN_PENALTY = 0.5

/** Size of a request to a plain target; for these only the number of requests matters. */
const PLAIN_SIZE: RequestSize = { promptTokens: 0, outputTokens: 0 }

/** Reserves the least busy target of a plain service that is not excluded, or returns `undefined`. */
export function reserveTarget (service: Service, excluded: ReadonlySet<string>, ownDomain: string, context: GatewayContext): Reservation | undefined {
  const { fleet, loadTracker, suspicions, targetLimits, targetPauses } = context
  const cost = (target: Target): number => {
    const otherDomain = target.failureDomain === ownDomain ? 0 : OTHER_DOMAIN_PENALTY
    return (1 + loadTracker.loadOf(target.id).sequences + otherDomain) * suspicions.slownessOf(target.id)
  }
  const candidates = fleet.servingTargets(service.name).filter(candidate => !excluded.has(candidate.id) && mayTake(candidate.id, context))
  const usable = candidates.filter(candidate => Number.isFinite(cost(candidate))).sort((a, b) => cost(a) - cost(b))
  // A target that only refused a request recently is better than none.
  const target = usable[0] ?? candidates.find(candidate => !suspicions.isUnfit(candidate.id))
  if (target === undefined) return undefined
  targetLimits.take(target.id)
  targetPauses.take(target.id)
  const claim = loadTracker.claim([{ target, from: 0, to: 1 }], PLAIN_SIZE)
  return { target, path: undefined, [Symbol.dispose]: () => claim[Symbol.dispose]() }
}
