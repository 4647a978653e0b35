/**
 * The targets of one service at one moment of a day, by failure domain, kind and slowness.
 */
import type { Site, SiteChange, SiteDay } from '../../platform/readSite/types.js'

/** Targets that are alike. */
export interface Pool {
  failureDomain: string
  kind: string | undefined
  /** Targets; a fraction when some of them work part of the time. */
  count: number
  slots: number
  /** Factor on all times. */
  slowness: number
}

/**
 * @name listPools
 * @summary Targets that serve at a moment.
 * @param service - The service.
 * @param atS - Seconds from the start of the day.
 * @param options - Site and day; `valueOf`, what one target of a pool is worth; `loadS`, the time from start to service. A loss takes the targets of least worth, so that no choice of victims leaves more.
 * @returns Pools without empty ones.
 *
 * @example
 * listPools('writers', 12, { site, day, valueOf: () => 1, loadS: () => 0 })
 */
export function listPools (
  service: string, atS: number,
  options: { site: Site, day: SiteDay, valueOf: (pool: Pool) => number, loadS: (pool: Pool) => number }
): Pool[] {
  const { site, day, valueOf, loadS } = options
  const start = site.targets.filter(target => target.service === service).map(({ failureDomain, kind, count, slots }): Pool => ({ failureDomain, kind, count, slots, slowness: 1 }))
  const startCount = countOf(start)
  const changes = day.changes.filter(change => change.kind !== 'burst' && (change.service === undefined || change.service === service))
  let pools = start
  for (const change of changes) {
    const number = change.count ?? change.share! * startCount
    if (change.kind === 'joins') pools = [...pools, ...join(pools, change, number)]
    else pools = takeLeast(pools, change, number)
  }
  return pools.filter(({ count }) => count > 0)

  /** Targets that join, of the kind that is worth most in their failure domain; they serve once loaded. */
  function join (present: readonly Pool[], change: SiteChange, number: number): Pool[] {
    const [best] = present.filter(pool => change.failureDomain === undefined || pool.failureDomain === change.failureDomain).sort((a, b) => valueOf(b) - valueOf(a))
    return best === undefined || atS < change.atS + loadS(best) ? [] : [{ ...best, count: number, slowness: 1 }]
  }

  /** The pools once `number` targets of least worth are down or slow; those that were down serve again once loaded. */
  function takeLeast (present: readonly Pool[], change: SiteChange, number: number): Pool[] {
    let left = number
    return [...present].sort((a, b) => valueOf(a) - valueOf(b)).flatMap(pool => {
      const isHit = change.failureDomain === undefined || pool.failureDomain === change.failureDomain
      const taken = isHit ? Math.min(left, pool.count) : 0
      left -= taken
      const rest = { ...pool, count: pool.count - taken }
      const backS = change.untilS + (change.kind === 'down' ? loadS(pool) : 0)
      if (taken === 0 || atS < change.atS || atS >= backS) return [pool]
      if (change.kind === 'slow') return [rest, { ...pool, count: taken, slowness: pool.slowness * change.factor }]
      if (change.kind === 'down') return [rest, { ...pool, count: taken * (1 - change.factor) }]
      return [rest]
    })
  }
}

/** Targets of several pools. */
export function countOf (pools: readonly Pool[]): number {
  return pools.reduce((sum, { count }) => sum + count, 0)
}
