/**
 * What a router that knows the whole day ahead could serve in time: demand against what memory and
 * speed of the targets allow, second by second. It chooses layers and batches anew each second
 * without loss; links between failure domains, begun streams and the hosts themselves cost it
 * nothing. Paths are of engines of one kind: mixed ones can trade memory of a slow kind for that of
 * a fast one, which matters only where the bound is near the demand.
 */
import type { Site, SiteDay, SiteModel, SiteRoute } from '../../platform/readSite/types.js'
import { computeKindCapacity, type KindCapacity, type MeanRequest } from './computeKindCapacity.js'
import { listPools, type Pool } from './listPools.js'

/** One second of one service, over the site or in one failure domain. */
export interface BoundSecond {
  second: number
  /** Requests that arrive. */
  demand: number
  /** Requests that the targets could serve in time. */
  capacity: number
  /** Requests of this second, or of the one before, that are served in time. */
  served: number
}

/** Bound of one service. */
export interface ServiceBound {
  service: string
  /** Share of the day's requests that can be served in time. */
  share: number
  /** Lowest capacity for each request that arrives in one second, and that second. */
  lowestRoom: number
  lowestRoomSecond: number
  seconds: BoundSecond[]
  /** Best use of one engine of each kind, for the mean request of the first second; empty for plain targets. */
  kinds: Array<KindCapacity & { kind: string }>
  /** The same where each failure domain serves only its own requests on its own targets. */
  byFailureDomain: Array<{ failureDomain: string, share: number, lowestRoom: number }>
}

/** Bound of a day. */
export interface DayBound {
  site: string
  day: string
  share: number
  services: ServiceBound[]
  /** Disruptions that the arithmetic leaves out. */
  leftOut: string[]
}

const MS_PER_S = 1_000

/**
 * @name computeBound
 * @summary Upper bound of a day.
 * @param site - The site.
 * @param day - One of its days.
 * @returns The bound by service, second and failure domain.
 *
 * @example
 * computeBound(site, site.days[0]!).share
 */
export function computeBound (site: Site, day: SiteDay): DayBound {
  const services = [...new Set(site.routes.map(({ service }) => service))].map(service => boundService(service, site, day))
  const sum = (of: (second: BoundSecond) => number): number => services.flatMap(({ seconds }) => seconds).reduce((total, second) => total + of(second), 0)
  return { site: site.name, day: day.name, share: ratio(sum(({ served }) => served), sum(({ demand }) => demand)), services, leftOut: day.leftOut }
}

function boundService (service: string, site: Site, day: SiteDay): ServiceBound {
  const seconds = countSeconds(service, site, day, undefined)
  const room = findLowestRoom(seconds)
  return {
    service,
    share: shareOf(seconds),
    ...room,
    seconds,
    kinds: listKinds(service, site, day),
    byFailureDomain: site.failureDomains.map(failureDomain => {
      const own = countSeconds(service, site, day, failureDomain)
      return { failureDomain, share: shareOf(own), lowestRoom: findLowestRoom(own).lowestRoom }
    })
  }
}

function listKinds (service: string, site: Site, day: SiteDay): ServiceBound['kinds'] {
  const siteModel = site.models.find(model => model.service === service)
  if (siteModel === undefined) return []
  const capacityOf = createCapacities(siteModel, meanRequest(demandByRoute(service, 0, site, day, undefined)), site.linkMs)
  return Object.keys(siteModel.model.kinds).map(kind => ({ kind, ...capacityOf({ kind, slowness: 1 }) }))
}

/** Seconds of a service, in one failure domain or (`undefined`) over the site. */
function countSeconds (service: string, site: Site, day: SiteDay, failureDomain: string | undefined): BoundSecond[] {
  const siteModel = site.models.find(model => model.service === service)
  let carried = 0
  return Array.from({ length: Math.ceil(day.lengthS) }, (_, second): BoundSecond => {
    const byRoute = demandByRoute(service, second, site, day, failureDomain)
    const demand = [...byRoute.values()].reduce((total, count) => total + count, 0)
    const mean = meanRequest(byRoute)
    const capacities = siteModel === undefined ? undefined : createCapacities(siteModel, mean, site.linkMs)
    const valueOf = (pool: Pool): number => capacities === undefined ? plainCapacity(pool, byRoute) : capacities(pool).requestsPerS
    const loadS = (pool: Pool): number => siteModel === undefined || capacities === undefined ? 0 : capacities(pool).layers / siteModel.model.layerCount * siteModel.model.loadMs / MS_PER_S
    const pools = listPools(service, second, { site, day, valueOf, loadS }).filter(pool => failureDomain === undefined || pool.failureDomain === failureDomain)
    const capacity = siteModel !== undefined && !canHoldModel(pools, siteModel) ? 0 : pools.reduce((sum, pool) => sum + pool.count * valueOf(pool), 0)
    const served = Math.min(demand + carried, capacity)
    carried = Math.min(demand + carried - served, capacity * mean.objectiveMs / MS_PER_S)
    return { second, demand, capacity, served }
  })
}

function demandByRoute (service: string, second: number, site: Site, day: SiteDay, failureDomain: string | undefined): Map<SiteRoute, number> {
  const routes = site.routes.filter(route => route.service === service)
  return new Map(routes.map(route => [route, countDemand(route, second, day, failureDomain)]))
}

/** Requests of a route in one second, at its middle. */
function countDemand (route: SiteRoute, second: number, day: SiteDay, failureDomain: string | undefined): number {
  const atS = second + 0.5
  return day.demand.filter(demand => failureDomain === undefined || demand.failureDomain === failureDomain).reduce((sum, { failureDomain: domain, requestsPerS, shares, wave }) => {
    const bursts = day.changes.filter(({ kind, atS: fromS, untilS, route: name, failureDomain: only }) => kind === 'burst' && atS >= fromS && atS < untilS && (name === undefined || name === route.name) && (only === undefined || only === domain))
    const swing = Math.max(0, 1 + wave.swing * Math.sin(2 * Math.PI * (atS / wave.periodS + wave.phase)))
    return sum + bursts.reduce((rate, { factor }) => rate * factor, requestsPerS * (shares[route.name] ?? 0) * swing)
  }, 0)
}

/** Mean of the requests of a second, with the widest limits of its routes. */
function meanRequest (byRoute: ReadonlyMap<SiteRoute, number>): MeanRequest {
  const total = [...byRoute.values()].reduce((sum, count) => sum + count, 0)
  const meanOf = (of: (route: SiteRoute) => number): number => [...byRoute].reduce((sum, [route, count]) => sum + of(route) * count, 0) / Math.max(total, Number.MIN_VALUE)
  const routes = [...byRoute.keys()]
  return {
    promptTokens: meanOf(({ promptTokens }) => promptTokens),
    outputTokens: meanOf(({ outputTokens }) => outputTokens),
    objectiveMs: Math.max(...routes.map(({ objectiveMs }) => objectiveMs)),
    gapObjectiveMs: Math.max(...routes.map(({ gapObjectiveMs }) => gapObjectiveMs ?? Infinity))
  }
}

/** Capacity of one engine by kind and slowness, each computed once. */
function createCapacities (siteModel: SiteModel, request: MeanRequest, linkMs: number): (pool: Pick<Pool, 'kind' | 'slowness'>) => KindCapacity {
  const known = new Map<string, KindCapacity>()
  return ({ kind = '', slowness }) => {
    const key = `${kind} ${slowness}`
    const capacity = known.get(key) ?? computeKindCapacity(kind, request, { ...siteModel, linkMs }, slowness)
    known.set(key, capacity)
    return capacity
  }
}

/** Requests a second of one plain target. */
function plainCapacity ({ slots, slowness }: Pool, byRoute: ReadonlyMap<SiteRoute, number>): number {
  const total = [...byRoute.values()].reduce((sum, count) => sum + count, 0)
  const workMs = [...byRoute].reduce((sum, [route, count]) => sum + route.workMs * count, 0) / Math.max(total, Number.MIN_VALUE)
  return workMs === 0 ? Infinity : slots * MS_PER_S / (workMs * slowness)
}

/** Whether the engines have memory for all layers once. */
function canHoldModel (pools: readonly Pool[], { model }: SiteModel): boolean {
  const layers = pools.reduce((sum, { kind, count }) => sum + count * Math.floor((model.kinds[kind ?? '']?.memoryMb ?? 0) / model.layerMb), 0)
  return layers >= model.layerCount
}

function shareOf (seconds: readonly BoundSecond[]): number {
  return ratio(seconds.reduce((sum, { served }) => sum + served, 0), seconds.reduce((sum, { demand }) => sum + demand, 0))
}

function findLowestRoom (seconds: readonly BoundSecond[]): { lowestRoom: number, lowestRoomSecond: number } {
  const lowest = seconds.filter(({ demand }) => demand > 0).reduce<BoundSecond | undefined>((least, second) => least === undefined || second.capacity / second.demand < least.capacity / least.demand ? second : least, undefined)
  return { lowestRoom: lowest === undefined ? Infinity : lowest.capacity / lowest.demand, lowestRoomSecond: lowest?.second ?? 0 }
}

function ratio (part: number, whole: number): number {
  return whole === 0 ? 1 : part / whole
}
