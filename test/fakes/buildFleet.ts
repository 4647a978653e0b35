/**
 * A fleet of engines of two speeds in three failure domains, for tests of placement and paths.
 */
import type { EngineModel, LayerRange, Target } from '../../src/fleet/types.js'
import type { PlacementEngine } from '../../src/placement/types.js'

/** A model of 80 layers with figures for four kinds of accelerators. */
export const TEST_MODEL: EngineModel = {
  layerCount: 80,
  layerMb: 1_750,
  tokenLayerMb: 0.0105,
  stepMs: 0.85,
  perSequenceMs: 0.0055,
  perContextKMs: 0.0073,
  prefillTokensPerMs: 196,
  activationBytes: 42_000,
  pipeMbps: 11_000,
  loadMs: 14_000,
  loadsAtOnce: 6,
  slots: 134,
  usualPromptTokens: 770,
  usualOutputTokens: 174,
  kinds: {
    large: { memoryMb: 72_000, pace: 1.4, prefillFactor: 1 },
    medium: { memoryMb: 36_000, pace: 3.1, prefillFactor: 3.2 },
    small: { memoryMb: 21_600, pace: 16, prefillFactor: 8.2 },
    tiny: { memoryMb: 14_400, pace: 15, prefillFactor: 15 }
  }
}

/** Number of engines of each kind in each failure domain. */
export type FleetCounts = Record<string, Record<string, number>>

const COUNTS: FleetCounts = {
  north: { large: 1, medium: 1, small: 5, tiny: 7 },
  east: { medium: 1, small: 8, tiny: 3 },
  south: { medium: 2, small: 4, tiny: 7 }
}

/** One engine; it holds no layers unless a range is given. */
export function buildEngine (id: string, failureDomain: string, kind: string, layers?: LayerRange): Target {
  return { id, service: 'model', address: '127.0.0.1:1', failureDomain, bornMs: 1, isLeaving: false, kind, slots: 134, ...(layers === undefined ? {} : { layers }) }
}

/** Every engine of the fleet, without layers. */
export function buildFleet (counts: FleetCounts = COUNTS): Target[] {
  return Object.entries(counts).flatMap(([domain, kinds]) => Object.entries(kinds).flatMap(([kind, count]) =>
    Array.from({ length: count }, (_, index) => buildEngine(`${domain}-${kind}-${index}`, domain, kind))))
}

/** Engines as the input of the planner: idle, and usable unless they are listed as lost. */
export function describeEngines (targets: readonly Target[], lostIds: ReadonlySet<string> = new Set()): PlacementEngine[] {
  return targets.map(target => ({ target, layers: target.layers, isUsable: !lostIds.has(target.id), isIdle: true }))
}

/** The engines with the layers that loads give them. */
export function applyLoads (targets: readonly Target[], loads: ReadonlyArray<{ target: Target, range: LayerRange }>): Target[] {
  const ranges = new Map(loads.map(load => [load.target.id, load.range]))
  return targets.map(target => ranges.has(target.id) ? { ...target, layers: ranges.get(target.id)! } : target)
}
