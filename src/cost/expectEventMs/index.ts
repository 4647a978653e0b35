/**
 * Expected time between two events of a stream, by the stages of its path.
 */
import type { EngineModel, Path } from '../../fleet/types.js'
import type { EngineLoad } from '../../path/choosePath/index.js'

/** Time that one engine is expected to need for an event. */
export interface StageTime {
  targetId: string
  expectedMs: number
}

/**
 * @name expectEventMs
 * @summary Expects the decode time of one event on each stage of a path, under the present load.
 * @param path - The path.
 * @param model - Its model; without `tokensPerEvent` an event counts as one token.
 * @param loadOf - Load of an engine.
 * @returns One entry for each engine of a known kind.
 *
 * @example
 * expectEventMs(path, model, loadTracker.loadOf)
 */
export function expectEventMs (path: Path, model: EngineModel, loadOf: (targetId: string) => EngineLoad): StageTime[] {
  return path.flatMap(({ target, from, to }) => {
    const kind = target.kind === undefined ? undefined : model.kinds[target.kind]
    if (kind === undefined) return []
    const { sequences, tokenLayers } = loadOf(target.id)
    const heldLayers = target.layers === undefined ? to - from : target.layers.to - target.layers.from
    const contextK = tokenLayers / Math.max(1, heldLayers) / 1_000
    const stepMs = (model.stepMs + model.perSequenceMs * sequences + model.perContextKMs * contextK) * kind.pace
    return [{ targetId: target.id, expectedMs: stepMs * (to - from) / model.layerCount * (model.tokensPerEvent ?? 1) }]
  })
}
