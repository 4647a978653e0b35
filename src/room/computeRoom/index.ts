/**
 * Computes how many requests a service's engines have room for. Meant for an overload in which
 * hundreds of queued requests ask for a path many times a second: the room is the same for all of
 * them, so it is computed once for a state of the engines. It is never less than what paths can be found for.
 */
import type { Target } from '../../fleet/types.js'
import { findLargestRequest } from '../_lib/findLargestRequest.js'
import { listRoomBoundaries, listRoomEngines, type RoomEngine, type RoomOptions } from '../_lib/roomEngines.js'

/** Room of the engines of a service. */
export interface EngineRoom {
  /** Requests of usual size that the engines can take beside those in progress, by the narrowest layers. */
  freePlaces: number
  /** Requests of usual size that the engines hold at most. */
  totalPlaces: number
  /** Tokens of the largest request for which there may be a path now; 0 if there is none for any. */
  largestTokens: number
}

/** Layers between two neighboring boundaries. */
interface Segment {
  from: number
  layers: number
}

/**
 * @name computeRoom
 * @summary Computes the room of the engines of a service.
 * @param engines - Engines that may serve.
 * @param options - Model, load and limits, as for the choice of a path.
 * @returns Free places, places in all, and the largest request that fits.
 *
 * @example
 * const { freePlaces, largestTokens } = computeRoom(engines, { model, loadOf, slownessOf })
 */
export function computeRoom (engines: readonly Target[], options: RoomOptions): EngineRoom {
  const { model } = options
  const roomEngines = listRoomEngines(engines, options)
  const usualTokens = Math.max(1, model.usualPromptTokens + model.usualOutputTokens)
  return {
    freePlaces: countPlaces(roomEngines, model.layerCount, usualTokens, ({ freeTokenLayers }) => freeTokenLayers, ({ freeFirst }) => freeFirst),
    totalPlaces: countPlaces(roomEngines, model.layerCount, usualTokens, ({ totalTokenLayers }) => totalTokenLayers, ({ totalFirst }) => totalFirst),
    largestTokens: findLargestRequest(roomEngines, options)
  }
}

/** Largest number of requests of one size whose layers can be divided among the engines. */
function countPlaces (engines: readonly RoomEngine[], layerCount: number, tokens: number, capacityOf: (engine: RoomEngine) => number, firstOf: (engine: RoomEngine) => number): number {
  const boundaries = listRoomBoundaries(engines, layerCount)
  const segments = boundaries.slice(0, -1).map((from, index): Segment => ({ from, layers: boundaries[index + 1]! - from }))
  // An engine that gives up its layers first is used first, so that layers which only few hold stay coverable.
  const byEnd = engines.filter(engine => capacityOf(engine) >= tokens).sort((a, b) => a.to - b.to)
  const firstPlaces = engines.reduce((sum, engine) => sum + (capacityOf(engine) >= tokens ? firstOf(engine) : 0), 0)
  let [most, least] = [Math.min(firstPlaces, countNarrowest(byEnd, segments, tokens, capacityOf)), 0]
  while (least < most) {
    const middle = Math.ceil((least + most) / 2)
    if (canHold(byEnd, segments, middle * tokens, capacityOf)) least = middle
    else most = middle - 1
  }
  return least
}

/** Places by the narrowest segment alone, as if engines gave each of their segments all their cache. */
function countNarrowest (engines: readonly RoomEngine[], segments: readonly Segment[], tokens: number, capacityOf: (engine: RoomEngine) => number): number {
  let narrowest = Infinity
  for (const { from, layers } of segments) {
    let capacity = 0
    for (const engine of engines) if (engine.from <= from && engine.to > from) capacity += capacityOf(engine)
    narrowest = Math.min(narrowest, Math.floor(capacity / (tokens * layers)))
  }
  return narrowest
}

/** Whether the engines can hold a number of tokens in every layer, each layer of each token on one of them. */
function canHold (byEnd: readonly RoomEngine[], segments: readonly Segment[], tokens: number, capacityOf: (engine: RoomEngine) => number): boolean {
  const left = byEnd.map(capacityOf)
  for (const { from, layers } of segments) {
    let needed = tokens * layers
    for (let index = 0; index < byEnd.length && needed > 0; index++) {
      const engine = byEnd[index]!
      if (engine.from > from || engine.to <= from) continue
      const used = Math.min(needed, left[index]!)
      left[index]! -= used
      needed -= used
    }
    if (needed > 0) return false
  }
  return true
}
