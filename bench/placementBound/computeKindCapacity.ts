/**
 * What one engine of a kind can serve in time at most, by speed and memory.
 */
import type { EngineModel } from '../../src/fleet/types.js'

/** Mean request of a model. */
export interface MeanRequest {
  promptTokens: number
  outputTokens: number
  objectiveMs: number
  gapObjectiveMs: number
}

/** Terms that a model's engines share. */
export interface EngineTerms {
  model: EngineModel
  tokensPerEvent: number
  /** One-way delay between two stages, in milliseconds. */
  linkMs: number
}

/** Best use of one engine. */
export interface KindCapacity {
  /** Whole requests a second, if engines of this kind ran all layers of them. */
  requestsPerS: number
  /** Layers held and requests in a batch at that rate; 0 when nothing can be served in time. */
  layers: number
  batch: number
}

/** Most stages of one path. */
const MAX_STAGES = 32

/** Factor between the sizes of batch that are tried. */
const BATCH_STEP = 1.25

const TOKENS_PER_K = 1_000
const MS_PER_S = 1_000

/**
 * @name computeKindCapacity
 * @summary Requests a second that one engine serves in time at most, over all numbers of layers and sizes of batch.
 * @param kind - Name of its kind, a key of the model's `kinds`.
 * @param request - Mean request.
 * @param terms - The model, and what its engines share.
 * @param slowness - Factor on all times; 1 for an engine of usual speed.
 * @returns The best rate, with layers and batch.
 *
 * @example
 * computeKindCapacity('a100', request, terms, 1).requestsPerS
 */
export function computeKindCapacity (kind: string, request: MeanRequest, terms: EngineTerms, slowness: number): KindCapacity {
  const { model } = terms
  const speed = model.kinds[kind]
  let best: KindCapacity = { requestsPerS: 0, layers: 0, batch: 0 }
  if (speed === undefined) return best
  const mostLayers = Math.min(model.layerCount, Math.floor(speed.memoryMb / model.layerMb))
  for (let layers = Math.ceil(model.layerCount / MAX_STAGES); layers <= mostLayers; layers++) {
    const tokenLayers = (speed.memoryMb - layers * model.layerMb) / model.tokenLayerMb
    const meanTokens = request.promptTokens + request.outputTokens / 2
    const mostResident = tokenLayers / (meanTokens * layers)
    for (let batch = 1; batch <= mostResident; batch *= BATCH_STEP) {
      const times = computeTimes(batch, model.layerCount / layers, request, terms)
      const isInTime = times.firstEventMs <= request.objectiveMs && times.eventMs <= request.gapObjectiveMs
      if (!isInTime) break
      const byTime = MS_PER_S / times.engineMs
      const byMemory = MS_PER_S * tokenLayers / (meanTokens * model.layerCount * times.residenceMs)
      const requestsPerS = Math.min(byTime, byMemory)
      if (requestsPerS > best.requestsPerS) best = { requestsPerS, layers, batch: Math.round(batch) }
    }
  }
  return best

  /** Times of one request on a path of engines of this kind, in milliseconds. */
  function computeTimes (batch: number, stages: number, { promptTokens, outputTokens }: MeanRequest, { linkMs, tokensPerEvent }: EngineTerms): { firstEventMs: number, eventMs: number, residenceMs: number, engineMs: number } {
    const contextK = (promptTokens + outputTokens / 2) / TOKENS_PER_K
    const stepMs = (model.stepMs + (model.perSequenceMs + model.perContextKMs * contextK) * batch) * speed!.pace * slowness
    const prefillMs = promptTokens / model.prefillTokensPerMs * speed!.prefillFactor * slowness
    const tokenMs = stepMs + stages * linkMs
    const eventMs = tokenMs * tokensPerEvent
    return { firstEventMs: prefillMs + eventMs, eventMs, residenceMs: prefillMs + tokenMs * outputTokens, engineMs: prefillMs + outputTokens * stepMs / batch }
  }
}
