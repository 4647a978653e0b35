/**
 * What one engine serves with a number of layers: usual requests at once, as its memory holds, and
 * usual requests per second on paths of engines of its kind.
 */
import type { EngineModel, Target } from '../../fleet/types.js'
import { CACHE_SHARE, computeCacheTokenLayers } from '../../path/_lib/stageCost.js'

const MS_PER_S = 1_000

/** Number of usual requests that an engine runs at once with a number of layers; 0 for an engine of unknown kind. */
export function countConcurrentRequests (target: Target, layers: number, model: EngineModel): number {
  const tokenLayers = (model.usualPromptTokens + model.usualOutputTokens) * Math.max(1, layers)
  return Math.min(model.slots, Math.floor(computeCacheTokenLayers(target, layers, model) * CACHE_SHARE / tokenLayers))
}

/** Time that a usual request takes on a path of engines of one kind that each run a number of requests, in milliseconds; infinite for an unknown kind. */
export function estimateRequestMs (kindName: string | undefined, concurrency: number, model: EngineModel): number {
  const kind = model.kinds[kindName ?? '']
  if (kind === undefined) return Infinity
  const contextK = concurrency * (model.usualPromptTokens + model.usualOutputTokens) / 1_000
  const stepMs = (model.stepMs + model.perSequenceMs * concurrency + model.perContextKMs * contextK) * kind.pace
  return model.usualPromptTokens / model.prefillTokensPerMs * kind.prefillFactor + model.usualOutputTokens * stepMs
}

/** Usual requests per second through the layers of an engine, on paths of engines like it. */
export function estimateEngineRate (target: Target, layers: number, model: EngineModel): number {
  const concurrency = countConcurrentRequests(target, layers, model)
  return concurrency <= 0 ? 0 : concurrency / estimateRequestMs(target.kind, concurrency, model) * MS_PER_S
}

/** Widths and values of the kinds of a model. */
const bestWidths = new WeakMap<EngineModel, Map<string, { width: number, value: number }>>()

/** Number of layers with which an engine serves most, and layers times requests per second that it then serves; both 0 for an engine of unknown kind. */
function findBestWidth (target: Target, model: EngineModel): { width: number, value: number } {
  const known = bestWidths.get(model) ?? new Map<string, { width: number, value: number }>()
  bestWidths.set(model, known)
  const found = known.get(target.kind ?? '')
  if (found !== undefined) return found
  let best = { width: 0, value: 0 }
  for (let width = 1; width <= model.layerCount; width++) {
    const value = width * estimateEngineRate(target, width, model)
    if (value > best.value) best = { width, value }
  }
  known.set(target.kind ?? '', best)
  return best
}

/** Number of layers with which an engine serves most; 0 for an engine of unknown kind or without memory for a layer. */
export const chooseWidth = (target: Target, model: EngineModel): number => findBestWidth(target, model).width

/** Layers times requests per second that an engine serves at best. */
export const estimateFullValue = (target: Target, model: EngineModel): number => findBestWidth(target, model).value
