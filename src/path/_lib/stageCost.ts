/**
 * What it costs a request to run layers on one engine: reading, steps, and a surcharge where its
 * cache is nearly full.
 */
import type { EngineModel, Target } from '../../fleet/types.js'
import type { PathOptions, RequestSize } from '../choosePath/index.js'

/** Fixed cost of a further stage, in milliseconds; keeps paths short among equals. */
const STAGE_MS = 1

/** Share of an engine's cache that requests are given; the rest is for answers longer than expected. */
export const CACHE_SHARE = 0.95

/** Use of an engine's cache from which its steps count as slower, since requests begin to wait for each other, and how much. */
const CROWDED_FILL = 0.8
const CROWDING_WEIGHT = 2

/** Weight of reading a request's tokens again, during which its stream pauses, beyond their reading itself. */
const READ_AGAIN_WEIGHT = 20

/** An engine with what its stages cost, worked out once for a request. */
export interface Candidate {
  target: Target
  /** Index of its failure domain among those of the candidates. */
  domain: number
  from: number
  to: number
  /** Expected time for each layer that it runs, in milliseconds. */
  layerMs: number
  /** Expected time of the steps alone for each layer, in milliseconds. */
  layerStepMs: number
  /** Cache in use, and all that may be used, in tokens times layers. */
  usedTokenLayers: number
  roomTokenLayers: number
  slowness: number
  canBeFirst: boolean
}

/**
 * @name roomOf
 * @summary Cache of an engine that holds a number of layers.
 * @param target - The engine.
 * @param layerCount - Layers that it holds.
 * @param model - Its model.
 * @returns Tokens times layers; 0 for an engine of unknown kind.
 *
 * @example
 * roomOf(engine, 8, model)
 */
export function roomOf (target: Target, layerCount: number, model: EngineModel): number {
  const kind = target.kind === undefined ? undefined : model.kinds[target.kind]
  if (kind === undefined) return 0
  return Math.max(0, (kind.memoryMb - layerCount * model.layerMb) / model.tokenLayerMb)
}

/** `undefined` for an engine that must not be used. */
export function describeCandidate (target: Target, size: RequestSize, options: PathOptions): Candidate | undefined {
  const { model } = options
  const kind = target.kind === undefined ? undefined : model.kinds[target.kind]
  const slowness = options.slownessOf(target.id)
  if (kind === undefined || target.layers === undefined || !Number.isFinite(slowness)) return undefined
  const { from, to } = target.layers
  const load = options.loadOf(target.id)
  const contextK = load.tokenLayers / Math.max(1, to - from) / 1_000
  const stepMs = (model.stepMs + model.perSequenceMs * (load.sequences + 1) + model.perContextKMs * contextK) * kind.pace / model.layerCount
  const prefillMs = size.promptTokens / model.prefillTokensPerMs * kind.prefillFactor / model.layerCount
  return {
    target,
    domain: 0,
    from,
    to: Math.min(to, model.layerCount),
    layerMs: prefillMs + stepMs * size.outputTokens,
    layerStepMs: stepMs * size.outputTokens,
    usedTokenLayers: load.tokenLayers,
    roomTokenLayers: Math.max(1, roomOf(target, to - from, model) * (options.cacheShare ?? CACHE_SHARE)),
    slowness,
    canBeFirst: load.firstSequences < model.slots
  }
}

/** Expected time that one stage adds to the whole request, or `undefined` when it has no room. */
export function expectStageMs (candidate: Candidate, layers: number, size: RequestSize, options: PathOptions, isFirst: boolean): number | undefined {
  const neededTokenLayers = (size.promptTokens + size.outputTokens) * layers
  const fill = (candidate.usedTokenLayers + neededTokenLayers) / candidate.roomTokenLayers
  if (options.isOvercommitted !== true && (fill > 1 || (isFirst && !candidate.canBeFirst))) return undefined
  const crowdingMs = Math.max(0, fill - CROWDED_FILL) * candidate.layerStepMs * layers * CROWDING_WEIGHT
  const readMs = (candidate.layerMs - candidate.layerStepMs) * layers * (options.currentPath === undefined ? 0 : READ_AGAIN_WEIGHT)
  return (candidate.layerMs * layers + crowdingMs + readMs) * candidate.slowness + STAGE_MS
}
