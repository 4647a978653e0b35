/**
 * Finds the largest request for which the engines may have a path: the widest path over layer
 * boundaries, by the free cache of each stage and by what each link still takes. It allows at least
 * what `choosePath` finds, as it does not exclude that a path uses one engine twice.
 */
import { DEFAULT_MAX_CROSSINGS } from '../../path/choosePath/index.js'
import { countFreeLinkTokens } from '../../path/_lib/linkCost.js'
import { listRoomBoundaries, type RoomEngine, type RoomOptions } from './roomEngines.js'

/** Tokens of the largest request that fits; 0 if none does. */
export function findLargestRequest (engines: readonly RoomEngine[], options: RoomOptions): number {
  const boundaries = listRoomBoundaries(engines, options.model.layerCount)
  const indexes = new Map(boundaries.map((boundary, index) => [boundary, index]))
  const domains = [...new Set(engines.map(engine => engine.failureDomain))]
  const ranges = engines.map(engine => ({ engine, domain: domains.indexOf(engine.failureDomain), from: indexes.get(engine.from)!, to: indexes.get(engine.to)! }))
  const counts = (options.maxCrossings ?? DEFAULT_MAX_CROSSINGS) + 1
  const slots = domains.length * counts
  const links = domains.map(from => domains.map(to => from === to ? Infinity : countFreeLinkTokens(from, to, options)))
  /** Widest partial path for each boundary, final domain and number of crossings. */
  const widths = new Float64Array(boundaries.length * slots)
  for (let position = 0; position < boundaries.length - 1; position++) {
    const entering = position === 0 ? undefined : enterDomains(widths.subarray(position * slots, (position + 1) * slots), links, counts)
    if (entering !== undefined && entering.every(width => width === 0)) continue
    for (const { engine, domain, from, to } of ranges) {
      if (from > position || to <= position || (entering === undefined && engine.freeFirst <= 0)) continue
      for (let end = position + 1; end <= to; end++) {
        const width = engine.freeTokenLayers / (boundaries[end]! - boundaries[position]!)
        for (let count = 0; count < counts; count++) {
          const before = entering === undefined ? (count === 0 ? Infinity : 0) : entering[domain * counts + count]!
          const slot = end * slots + domain * counts + count
          const wide = before < width ? before : width
          if (wide > widths[slot]!) widths[slot] = wide
        }
      }
    }
  }
  return Math.max(0, ...widths.subarray((boundaries.length - 1) * slots))
}

/** Widest partial paths that go on in each domain, by the number of crossings with the one into it. */
function enterDomains (ending: Float64Array, links: readonly number[][], counts: number): Float64Array {
  const entering = ending.slice()
  for (let domain = 0; domain < links.length; domain++) {
    for (let count = 1; count < counts; count++) {
      let widest = entering[domain * counts + count]!
      for (let other = 0; other < links.length; other++) if (other !== domain) widest = Math.max(widest, Math.min(ending[other * counts + count - 1]!, links[other]![domain]!))
      entering[domain * counts + count] = widest
    }
  }
  return entering
}
