/**
 * Decides which layers empty engines load. Answers the load patterns in which engines die, leave
 * and come back all the time: every failure domain gets whole covers of the model of its own,
 * so that requests need not take the narrow link between domains, some engines stay empty to
 * take the place of lost ones, and an engine that serves is not moved.
 */
import type { EngineModel, LayerRange, Target } from '../../fleet/types.js'
import { countCoverage, fillWithRoom, findHoles, layersThatFit } from '../_lib/coverage.js'
import { planExpress } from '../planExpress/index.js'
import type { PlacementEngine, PlannedLoad } from '../types.js'

/** Cache that an engine should have room for, in tokens, from the best to the least that is worth serving with. */
const ROOM_STEPS_TOKENS = [80_000, 77_000, 74_000, 70_000, 66_000, 62_000, 58_000, 50_000, 40_000, 30_000, 20_000, 12_000]

/** Room from which fewer engines are better than more room, in tokens. */
const COMFORTABLE_ROOM_TOKENS = 70_000

/** Part of a domain's capacity beyond its covers that is kept for repair. */
const SPARE_SHARE = 0.13

/**
 * @name planPlacement
 * @summary The loads that complete the covers of each failure domain, most urgent first.
 * @param engines - Every engine of the model.
 * @param options - The model.
 * @returns Loads of idle engines only; each fits the memory of its engine.
 *
 * @example
 * planPlacement(engines, { model })
 */
export function planPlacement (engines: readonly PlacementEngine[], options: { model: EngineModel }): PlannedLoad[] {
  const { model } = options
  const express = planExpress(engines, { model })
  const domains = [...new Set(engines.map(engine => engine.target.failureDomain))].sort()
  const plans = domains.map(domain => planDomain(engines.filter(engine => engine.target.failureDomain === domain), express.memberIds, model))
  const loads = [...express.loads, ...plans.sort((a, b) => a.urgency - b.urgency).flatMap(plan => plan.loads)]
  return [...loads, ...coverGaps(engines, loads, model)]
}

interface DomainPlan {
  loads: PlannedLoad[]
  /** Layers that the domain does not cover at all: one that is nearly whole goes first. */
  urgency: number
}

/**
 * Completes a domain's covers: first the layers that none of its engines holds, if need be with
 * an engine whose layers have another holder; then a whole cover beside the express engines;
 * then further covers, while enough engines stay empty.
 */
function planDomain (engines: readonly PlacementEngine[], expressIds: ReadonlySet<string>, model: EngineModel): DomainPlan {
  const usable = engines.filter(engine => engine.isUsable)
  const others = usable.filter(engine => !expressIds.has(engine.target.id))
  const held = countCoverage(usable.flatMap(engine => engine.layers ?? []), model)
  const heldByOthers = countCoverage(others.flatMap(engine => engine.layers ?? []), model)
  const urgency = held.filter(count => count === 0).length
  const empty = others.filter(engine => engine.isIdle && engine.layers === undefined).map(engine => engine.target)
  const loads = fillCovers(heldByOthers, empty, others, model)
  if (loads.length > 0 || urgency === 0) return { loads, urgency }
  const spare = others.find(engine => isSpare(engine, held))
  const candidates = spare === undefined ? empty : [...empty, spare.target]
  return { loads: fillHoles(findHoles(held, 1), candidates, model) ?? [], urgency }
}

function fillCovers (coverage: number[], empty: readonly Target[], engines: readonly PlacementEngine[], model: EngineModel): PlannedLoad[] {
  const capacity = engines.reduce((sum, engine) => sum + layersThatFit(engine.target, ROOM_STEPS_TOKENS[0]!, model), 0)
  const covers = Math.max(1, Math.floor(capacity / (model.layerCount * (1 + SPARE_SHARE))))
  const loads: PlannedLoad[] = []
  let left = [...empty]
  for (let depth = 1; depth <= covers; depth++) {
    const filled = fillHoles(findHoles(coverage, depth), left, model)
    if (filled === undefined) break
    loads.push(...filled)
    left = left.filter(target => !filled.some(load => load.target.id === target.id))
    for (const { range } of filled) for (let layer = range.from; layer < range.to; layer++) coverage[layer]!++
  }
  return loads
}

/** Whether every layer of an engine has another holder in its domain, so that it can be moved. */
function isSpare (engine: PlacementEngine, held: readonly number[]): boolean {
  return engine.isIdle && engine.layers !== undefined && held.slice(engine.layers.from, engine.layers.to).every(count => count > 1)
}

/** Fills every hole with as few engines as leave comfortable room, or with the most room that is possible. */
function fillHoles (holes: readonly LayerRange[], idle: readonly Target[], model: EngineModel): PlannedLoad[] | undefined {
  let best: PlannedLoad[] | undefined
  for (const roomTokens of ROOM_STEPS_TOKENS) {
    if (best !== undefined && roomTokens < COMFORTABLE_ROOM_TOKENS) break
    const loads = fillWithRoom(holes, idle, roomTokens, model)
    if (loads !== undefined && (best === undefined || loads.length < best.length)) best = loads
  }
  return best
}

/** Layers that no domain covers are loaded by whatever engine is empty, wherever it is. */
function coverGaps (engines: readonly PlacementEngine[], loads: readonly PlannedLoad[], model: EngineModel): PlannedLoad[] {
  const usable = engines.filter(engine => engine.isUsable)
  const ranges = [...usable.flatMap(engine => engine.layers ?? []), ...loads.map(load => load.range)]
  const holes = findHoles(countCoverage(ranges, model), 1)
  if (holes.length === 0) return []
  const idle = usable
    .filter(engine => engine.isIdle && engine.layers === undefined && !loads.some(load => load.target.id === engine.target.id))
    .map(engine => engine.target)
  return fillHoles(holes, idle, model) ?? []
}
