/**
 * Chooses a chain among the placements of a model.
 */
import type { ModelScope, Placement } from '../../ticket/types.js'
import type { Chain, PickStage } from '../types.js'

/**
 * @name chooseChain
 * @summary Chooses a chain that covers every layer once, in order.
 * @param model - The model and its placements.
 * @param options - Which targets may be used, and how to pick among the stages that may come next.
 * @returns The chain, or nothing where the usable targets do not cover the model.
 *
 * @example
 * const chain = chooseChain(model, { isUsable: target => directory.condition(target) === 'usable', pick })
 */
export function chooseChain (
  model: ModelScope,
  options: { isUsable: (target: string) => boolean, pick: PickStage }
): Chain | undefined {
  const usable = model.placement.filter(placement => options.isUsable(placement.target))
  const connectedLayers = findLayersConnectedToEnd(usable, model.layers)
  const chain: Placement[] = []
  let layer = 0
  while (layer < model.layers) {
    const candidates = usable.filter(placement => placement.fromLayer === layer && connectedLayers.has(placement.toLayer))
    if (candidates.length === 0) return undefined
    const stage = options.pick(candidates, chain)
    chain.push(stage)
    layer = stage.toLayer
  }
  return chain
}

/** Layers from which some sequence of placements leads to the end of the model. */
function findLayersConnectedToEnd (placements: readonly Placement[], layers: number): Set<number> {
  const connected = new Set([layers])
  const lastFirst = [...placements].sort((a, b) => b.fromLayer - a.fromLayer)
  for (const placement of lastFirst) if (connected.has(placement.toLayer)) connected.add(placement.fromLayer)
  return connected
}
