/**
 * Cost to a request of running layers on one engine: prefill, decode steps, and a surcharge when
 * the engine's cache is nearly full.
 */
import type { EngineModel, Target } from '../../fleet/types.js'
import type { PathOptions, RequestSize } from '../choosePath/index.js'

/** Fixed cost of each stage, in milliseconds; of paths that are otherwise equal, the shortest is chosen. */
const STAGE_OVERHEAD_MS = 1

/** Share of an engine's cache that requests may be planned into; the rest absorbs answers longer than expected. */
export const CACHE_SHARE = 0.95

/** Cache fill from which an engine's steps count as slower, because requests begin to wait for each other. */
const CONTENTION_FILL = 0.8

/** Factor on the decode time for each unit of cache fill above `CONTENTION_FILL`. */
const CONTENTION_WEIGHT = 2

/** Extra weight of prefilling the tokens of a request in progress again on a new stage: its stream pauses meanwhile. */
const REPREFILL_WEIGHT = 20

/** An engine with the cost of running a request's layers on it, computed once for each request. */
export interface Candidate {
  target: Target
  /** Index of its failure domain among those of the candidates. */
  domain: number
  from: number
  to: number
  /** Expected time for each layer that it runs, prefill and decode, in milliseconds. */
  layerMs: number
  /** Expected decode time for each layer that it runs, in milliseconds. */
  layerDecodeMs: number
  /** Cache in use, in tokens times layers. */
  usedTokenLayers: number
  /** Cache that may be used in all, in tokens times layers. */
  cacheTokenLayers: number
  slowness: number
  canBeFirstStage: boolean
}

/**
 * @name computeCacheTokenLayers
 * @summary Cache size of an engine that holds a number of layers.
 * @param target - The engine.
 * @param layerCount - Layers that it holds.
 * @param model - Its model.
 * @returns Tokens times layers; 0 for an engine of unknown kind.
 *
 * @example
 * computeCacheTokenLayers(engine, 8, model)
 */
export function computeCacheTokenLayers (target: Pick<Target, 'kind'>, layerCount: number, model: EngineModel): number {
  const kind = target.kind === undefined ? undefined : model.kinds[target.kind]
  if (kind === undefined) return 0
  return Math.max(0, (kind.memoryMb - layerCount * model.layerMb) / model.tokenLayerMb)
}

/** Computes the costs of an engine for a request; `undefined` for an engine that must not be used. */
export function createCandidate (target: Target, size: RequestSize, options: PathOptions): Candidate | undefined {
  const { model } = options
  const kind = target.kind === undefined ? undefined : model.kinds[target.kind]
  const slowness = options.slownessOf(target.id)
  if (kind === undefined || target.layers === undefined || !Number.isFinite(slowness)) return undefined
  const { from, to } = target.layers
  if (to > model.layerCount) return undefined
  const load = options.loadOf(target.id)
  const contextK = load.tokenLayers / Math.max(1, to - from) / 1_000
  const stepMs = (model.stepMs + model.perSequenceMs * (load.sequences + 1) + model.perContextKMs * contextK) * kind.pace / model.layerCount
  const prefillMs = size.promptTokens / model.prefillTokensPerMs * kind.prefillFactor / model.layerCount
  return {
    target,
    domain: 0,
    from,
    to,
    layerMs: prefillMs + stepMs * size.outputTokens,
    layerDecodeMs: stepMs * size.outputTokens,
    usedTokenLayers: load.tokenLayers,
    cacheTokenLayers: Math.max(1, computeCacheTokenLayers(target, to - from, model) * (options.cacheShare ?? CACHE_SHARE)),
    slowness,
    canBeFirstStage: load.firstSequences < model.slots
  }
}

/** Expected time in milliseconds that one stage adds to the whole request, or `undefined` when the engine is full. */
export function estimateStageMs (candidate: Candidate, layers: number, size: RequestSize, options: PathOptions, isFirst: boolean): number | undefined {
  const neededTokenLayers = (size.promptTokens + size.outputTokens) * layers
  const fill = (candidate.usedTokenLayers + neededTokenLayers) / candidate.cacheTokenLayers
  if (options.isOvercommitted !== true && (fill > 1 || (isFirst && !candidate.canBeFirstStage))) return undefined
  const contentionMs = Math.max(0, fill - CONTENTION_FILL) * candidate.layerDecodeMs * layers * CONTENTION_WEIGHT
  const reprefillMs = (candidate.layerMs - candidate.layerDecodeMs) * layers * (options.currentPath === undefined ? 0 : REPREFILL_WEIGHT)
  return (candidate.layerMs * layers + contentionMs + reprefillMs) * candidate.slowness + STAGE_OVERHEAD_MS
}
