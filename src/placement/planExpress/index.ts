/**
 * Plans one cover of the model by the fastest engines alone, over as few failure domains as it
 * takes. Answers the load pattern in which a fault cuts off every stream in progress: on fast
 * engines a stream lasts a fraction of the time, so that fewer are in progress at any moment,
 * and the covers of the domains are left nearly idle to take over.
 */
import type { EngineModel, LayerRange, Target } from '../../fleet/types.js'
import { countCoverage, fillWithRoom, findHoles, layersThatFit } from '../_lib/coverage.js'
import type { PlacementEngine, PlannedLoad } from '../types.js'

/** The express cover. */
export interface ExpressPlan {
  /** Engines that belong to it and to no other cover. */
  memberIds: ReadonlySet<string>
  loads: PlannedLoad[]
}

/** Cache that each of its engines has room for, in tokens; short streams need little. */
const ROOM_TOKENS = 45_000

/** Share of the slowest kind's pace up to which a kind counts as fast. */
const FAST_PACE_SHARE = 0.5

/** Longest transfer of a usual prompt between domains for which a cover may span two of them, in milliseconds. */
const CROSSING_LIMIT_MS = 30

/** Failure domains that the cover may span; each boundary costs a transfer for each prompt. */
const DOMAIN_LIMIT = 2

/** Bits in a byte, over bits in a megabit, times milliseconds in a second. */
const MS_PER_BYTE_AT_1_MBPS = 8 / 1_000

const NO_EXPRESS: ExpressPlan = { memberIds: new Set(), loads: [] }

interface DomainShare {
  engines: PlacementEngine[]
  layers: number
}

/**
 * @name planExpress
 * @summary The loads that complete the express cover.
 * @param engines - Every engine of the model.
 * @param options - The model.
 * @returns Its engines and loads; none where the fast engines cannot cover the model.
 *
 * @example
 * planExpress(engines, { model }).loads
 */
export function planExpress (engines: readonly PlacementEngine[], options: { model: EngineModel }): ExpressPlan {
  const { model } = options
  const fast = engines.filter(engine => engine.isUsable && isFast(engine.target, model))
  const shares = listShares(fast, model)
  const capacity = shares.reduce((sum, share) => sum + share.layers, 0)
  if (capacity < model.layerCount) return NO_EXPRESS
  const memberIds = new Set(shares.flatMap(share => share.engines.map(engine => engine.target.id)))
  const loads: PlannedLoad[] = []
  let from = 0
  for (const share of shares) {
    const range = { from, to: Math.min(model.layerCount, from + share.layers) }
    loads.push(...fillShare(share, range, model))
    from = range.to
  }
  return { memberIds, loads }
}

function isFast (target: Target, model: EngineModel): boolean {
  const slowest = Math.max(...Object.values(model.kinds).map(kind => kind.pace))
  return (model.kinds[target.kind ?? '']?.pace ?? Infinity) <= slowest * FAST_PACE_SHARE
}

/** The domains with the most fast layers, as many as the cover may span. */
function listShares (fast: readonly PlacementEngine[], model: EngineModel): DomainShare[] {
  const transferMs = model.usualPromptTokens * model.activationBytes * MS_PER_BYTE_AT_1_MBPS / model.pipeMbps
  const domainLimit = transferMs <= CROSSING_LIMIT_MS ? DOMAIN_LIMIT : 1
  const domains = [...new Set(fast.map(engine => engine.target.failureDomain))].sort()
  const shares = domains
    .map(domain => {
      const members = fast.filter(engine => engine.target.failureDomain === domain)
      return { engines: members, layers: members.reduce((sum, engine) => sum + layersThatFit(engine.target, ROOM_TOKENS, model), 0) }
    })
    .sort((a, b) => b.layers - a.layers)
  const chosen: DomainShare[] = []
  let layers = 0
  for (const share of shares.slice(0, domainLimit)) {
    if (layers >= model.layerCount) break
    chosen.push(share)
    layers += share.layers
  }
  return chosen
}

function fillShare (share: DomainShare, range: LayerRange, model: EngineModel): PlannedLoad[] {
  const held = share.engines.flatMap(engine => engine.layers ?? [])
  const holes = findHoles(countCoverage(held, model), 1)
    .map(hole => ({ from: Math.max(hole.from, range.from), to: Math.min(hole.to, range.to) }))
    .filter(hole => hole.from < hole.to)
  const idle = share.engines.filter(engine => engine.isIdle && engine.layers === undefined).map(engine => engine.target)
  return holes.length === 0 ? [] : fillWithRoom(holes, idle, ROOM_TOKENS, model) ?? []
}
