/**
 * Tells without a search whether a request may have a path. Meant for an overload in which hundreds of
 * queued requests are tried many times a second and nearly all searches fail: the largest request
 * that fits is computed once for a state of the engines, and a size for which a search failed is
 * not searched for again in that state.
 */
import type { Target } from '../../fleet/types.js'
import type { RequestSize } from '../../path/choosePath/index.js'
import { linkKey } from '../../path/_lib/linkCost.js'
import { findLargestRequest } from '../_lib/findLargestRequest.js'
import { listRoomEngines, type RoomOptions } from '../_lib/roomEngines.js'

/** What is known of the room of each service. */
export interface RoomCheck {
  /** Looks at the engines of a service; what was known stays while neither engines nor loads have changed. */
  look: (service: string, engines: readonly Target[], options: RoomOptions) => RoomView
}

/** Room of a service in one state of its engines. */
export interface RoomView {
  /** Whether there may be a path; if not, a search would find none either. */
  mayFit: (size: RequestSize) => boolean
  /** The same with another share of the engines' caches. */
  mayFitWithin: (size: RequestSize, cacheShare: number) => boolean
  /** Notes that a search among all engines found no path. */
  noteFailed: (size: RequestSize) => void
}

/** Relative error of the room against the check of a path, by rounding. */
const ROUNDING_SHARE = 1e-9

/** Sizes remembered in one state; a busy host queues fewer. */
const MAX_FAILED_SIZES = 1_000

interface KnownRoom {
  engines: readonly Target[]
  model: RoomOptions['model']
  maxCrossings: number | undefined
  figures: Float64Array
  view: RoomView
}

/**
 * @name createRoomCheck
 * @summary Creates a check that knows no service yet.
 * @returns The check.
 *
 * @example
 * const room = roomCheck.look(service.name, engines, { model, loadOf, slownessOf })
 * if (!room.mayFit(size)) return undefined
 */
export function createRoomCheck (): RoomCheck {
  const known = new Map<string, KnownRoom>()
  return {
    look (service, engines, options) {
      const { model, maxCrossings } = options
      const before = known.get(service)
      const figures = listFigures(engines, options)
      const isSame = before !== undefined && before.model === model && before.maxCrossings === maxCrossings &&
        isEqual(before.engines, engines) && isEqual(before.figures, figures)
      if (isSame) return before.view
      const view = createView(engines, options)
      known.set(service, { engines, model, maxCrossings, figures, view })
      return view
    }
  }
}

function createView (engines: readonly Target[], options: RoomOptions): RoomView {
  const failedSizes = new Set<string>()
  let largestTokens: number | undefined
  const fits = ({ promptTokens, outputTokens }: RequestSize, largest: number): boolean => promptTokens + outputTokens <= largest * (1 + ROUNDING_SHARE)
  return {
    mayFit (size) {
      largestTokens ??= findLargestRequest(listRoomEngines(engines, options), options)
      return fits(size, largestTokens) && !failedSizes.has(sizeKey(size))
    },
    mayFitWithin: (size, cacheShare) => fits(size, findLargestRequest(listRoomEngines(engines, { ...options, cacheShare }), options)),
    noteFailed (size) {
      if (failedSizes.size < MAX_FAILED_SIZES) failedSizes.add(sizeKey(size))
    }
  }
}

const sizeKey = ({ promptTokens, outputTokens }: RequestSize): string => `${promptTokens} ${outputTokens}`

/** Every figure that the choice of a path depends on, apart from the size of the request and the cost of each engine. */
function listFigures (engines: readonly Target[], { loadOf, slownessOf, mayBeFirst, model }: RoomOptions): Float64Array {
  const domains = [...new Set(engines.map(engine => engine.failureDomain))]
  const links = domains.flatMap((from, index) => domains.slice(index + 1).map(to => loadOf(linkKey(from, to)).tokenLayers))
  const figures = new Float64Array(engines.length * 2 + links.length)
  for (const [index, { id, layers }] of engines.entries()) {
    const { tokenLayers, firstSequences } = loadOf(id)
    const canBeFirst = layers?.from === 0 && firstSequences < model.slots && mayBeFirst?.(id) !== false
    figures[2 * index] = Number.isFinite(slownessOf(id)) ? tokenLayers : Infinity
    figures[2 * index + 1] = canBeFirst ? 1 : 0
  }
  figures.set(links, engines.length * 2)
  return figures
}

function isEqual<Item> (one: ArrayLike<Item>, other: ArrayLike<Item>): boolean {
  if (one.length !== other.length) return false
  for (let index = 0; index < one.length; index++) if (one[index] !== other[index]) return false
  return true
}
