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
  const { layerCount } = options.model
  const boundaries = listRoomBoundaries(engines, layerCount)
  const domains = [...new Set(engines.map(engine => engine.failureDomain))]
  const crossings = options.maxCrossings ?? DEFAULT_MAX_CROSSINGS
  const links = domains.map(from => domains.map(to => from === to ? Infinity : countFreeLinkTokens(from, to, options)))
  /** Widest partial path for each boundary, final domain and number of crossings. */
  const widths = new Map(boundaries.map(boundary => [boundary, domains.map(() => new Array<number>(crossings + 1).fill(0))]))
  for (const position of boundaries.slice(0, -1)) {
    const entering = position === 0 ? undefined : domains.map((_, to) => enterDomain(widths.get(position)!, to, links, crossings))
    for (const engine of engines) {
      if (engine.from > position || engine.to <= position || (entering === undefined && engine.freeFirst <= 0)) continue
      const domain = domains.indexOf(engine.failureDomain)
      for (const end of boundaries) {
        if (end <= position || end > engine.to) continue
        const width = engine.freeTokenLayers / (end - position)
        const ending = widths.get(end)![domain]!
        for (let count = 0; count <= crossings; count++) {
          const before = entering === undefined ? (count === 0 ? Infinity : 0) : entering[domain]![count]!
          ending[count] = Math.max(ending[count]!, Math.min(before, width))
        }
      }
    }
  }
  return Math.max(0, ...widths.get(layerCount)!.flat())
}

/** Widest partial paths that go on in a domain, by the number of crossings with the one into it. */
function enterDomain (ending: readonly number[][], domain: number, links: readonly number[][], crossings: number): number[] {
  return Array.from({ length: crossings + 1 }, (_, count) => {
    let widest = ending[domain]![count]!
    if (count === 0) return widest
    for (const [other, widths] of ending.entries()) if (other !== domain) widest = Math.max(widest, Math.min(widths[count - 1]!, links[other]![domain]!))
    return widest
  })
}
