/**
 * Tells which engines placement leaves out. Answers bad input: entries of other writers, kinds
 * that the configuration does not know, and reports of layers that no order could have led to.
 */
import type { EngineModel, Target } from '../../fleet/types.js'

/**
 * @name findEngineDefect
 * @summary Finds why an engine can neither be given layers nor counted as a holder of those that it reports.
 * @param target - The engine as its entry describes it.
 * @param options - The model.
 * @returns The cause, or `undefined` for a sound engine.
 *
 * @example
 * const cause = findEngineDefect(target, { model })
 */
export function findEngineDefect (target: Target, options: { model: EngineModel }): string | undefined {
  const { model } = options
  if (target.kind === undefined) return 'no kind'
  const kind = model.kinds[target.kind]
  if (kind === undefined) return 'unknown kind'
  if (!(kind.memoryMb >= model.layerMb)) return 'no memory for a layer'
  if (target.layers === undefined) return undefined
  const { from, to } = target.layers
  if (from >= to || to > model.layerCount) return 'layers outside the model'
  if ((to - from) * model.layerMb > kind.memoryMb) return 'more layers than its memory holds'
  return undefined
}
