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
  const others = engines.filter(engine => !express.memberIds.has(engine.target.id))
  const domains = [...new Set(others.map(engine => engine.target.failureDomain))].sort()
  const plans = domains.map(domain => planDomain(others.filter(engine => engine.target.failureDomain === domain), model))
  const loads = [...express.loads, ...plans.sort((a, b) => a.urgency - b.urgency).flatMap(plan => plan.loads)]
  return [...loads, ...coverGaps(engines, loads, model)]
}

interface DomainPlan {
  loads: PlannedLoad[]
  /** Layers still missing from the first cover: a domain that is nearly whole goes first. */
  urgency: number
}

function planDomain (engines: readonly PlacementEngine[], model: EngineModel): DomainPlan {
  const usable = engines.filter(engine => engine.isUsable)
  const coverage = countCoverage(usable.flatMap(engine => engine.layers ?? []), model)
  const urgency = coverage.filter(count => count === 0).length
  const capacity = usable.reduce((sum, engine) => sum + layersThatFit(engine.target, ROOM_STEPS_TOKENS[0]!, model), 0)
  const covers = Math.max(1, Math.floor(capacity / (model.layerCount * (1 + SPARE_SHARE))))
  const loads: PlannedLoad[] = []
  let idle = [...listIdle(usable, coverage)]
  for (let depth = 1; depth <= covers; depth++) {
    const holes = findHoles(coverage, depth)
    const filled = fillHoles(holes, idle, model)
    if (filled === undefined) break
    loads.push(...filled)
    idle = idle.filter(target => !filled.some(load => load.target.id === target.id))
    for (const { range } of filled) for (let layer = range.from; layer < range.to; layer++) coverage[layer]!++
  }
  return { loads, urgency }
}

/** Empty engines, and those whose layers all have another holder when none is empty. */
function listIdle (usable: readonly PlacementEngine[], coverage: readonly number[]): Target[] {
  const empty = usable.filter(engine => engine.isIdle && engine.layers === undefined)
  if (empty.length > 0) return empty.map(engine => engine.target)
  const spare = usable.find(engine => engine.isIdle && engine.layers !== undefined &&
    coverage.slice(engine.layers.from, engine.layers.to).every(count => count > 1))
  return spare === undefined || coverage.every(count => count > 0) ? [] : [spare.target]
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
