/**
 * Engines as the room of a service sees them: which layers each can run, and how much of its cache is free.
 */
import type { EngineModel, Target } from '../../fleet/types.js'
import type { EngineLoad, PathOptions } from '../../path/choosePath/index.js'
import { CACHE_SHARE, computeCacheTokenLayers } from '../../path/_lib/stageCost.js'

/** What the room of a service depends on; the same as for a choice of a path. */
export type RoomOptions = Pick<PathOptions, 'model' | 'loadOf' | 'slownessOf' | 'mayBeFirst' | 'cacheShare' | 'maxCrossings'>

/** One engine that may serve. */
export interface RoomEngine {
  from: number
  to: number
  failureDomain: string
  /** Cache that may be used in all, and what of it is not in use, in tokens times layers. */
  totalTokenLayers: number
  freeTokenLayers: number
  /** Requests that may begin on it in all, and beside those in progress; 0 for an engine that can't be first. */
  totalFirst: number
  freeFirst: number
}

/** Lists the engines that a path may use, with their room. */
export function listRoomEngines (engines: readonly Target[], options: RoomOptions): RoomEngine[] {
  return engines.flatMap(engine => describeEngine(engine, options) ?? [])
}

function describeEngine ({ id, kind, layers, failureDomain }: Target, { model, loadOf, slownessOf, mayBeFirst, cacheShare = CACHE_SHARE }: RoomOptions): RoomEngine | undefined {
  if (kind === undefined || model.kinds[kind] === undefined || layers === undefined || !Number.isFinite(slownessOf(id))) return undefined
  const { from, to } = layers
  if (to > model.layerCount) return undefined
  const load = loadOf(id)
  const totalTokenLayers = Math.max(1, computeCacheTokenLayers({ kind }, to - from, model) * cacheShare)
  const isFirst = from === 0 && mayBeFirst?.(id) !== false
  return {
    from,
    to,
    failureDomain,
    totalTokenLayers,
    freeTokenLayers: Math.max(0, totalTokenLayers - load.tokenLayers),
    totalFirst: isFirst ? model.slots : 0,
    freeFirst: isFirst ? countFreeSlots(load, model) : 0
  }
}

function countFreeSlots ({ firstSequences }: EngineLoad, { slots }: EngineModel): number {
  return Math.max(0, Math.ceil(slots - firstSequences))
}

/** Layer numbers at which a stage can begin or end, in ascending order. */
export function listRoomBoundaries (engines: readonly RoomEngine[], layerCount: number): number[] {
  const boundaries = new Set([0, layerCount])
  for (const { from, to } of engines) boundaries.add(from).add(to)
  return [...boundaries].filter(boundary => boundary <= layerCount).sort((a, b) => a - b)
}
