/**
 * The throughput bound of a model, as a maximum flow over its layers, after Helix (Mei et al.,
 * "Helix: Serving Large Language Models over Heterogeneous GPUs and Network via Max-Flow",
 * ASPLOS 2025). Nodes are layer boundaries. Engines that hold the same range are interchangeable:
 * together they are one edge, whose flow is divided among them in proportion to their rates.
 */
import type { Target } from '../../ticket/types.js'
import { computeMaxFlow } from '../computeMaxFlow/index.js'
import type { FlowInput, FlowShares } from '../types.js'

/** Rate of an engine whose target configures none, in tokens per second. */
const DEFAULT_TOKENS_PER_S = 1_000

/** Engines that hold the same range of layers, with rates in tokens per second. */
interface RangeGroup {
  fromLayer: number
  toLayer: number
  capacity: number
  members: Array<{ target: string, rate: number }>
}

/**
 * @name computeFlowShares
 * @summary Computes the throughput bound of a model and the share of each target in it.
 * @param input - The model, its targets, and which of them may be used.
 * @returns The bound and the flow by target.
 *
 * @example
 * const { boundTokensPerS } = computeFlowShares({ model, targets, isUsable: () => true })
 */
export function computeFlowShares (input: FlowInput): FlowShares {
  const groups = groupByRange(input)
  const { layers } = input.model
  const edges = groups.map(group => ({ from: group.fromLayer, to: group.toLayer, capacity: group.capacity }))
  const flow = computeMaxFlow(edges, { nodes: layers + 1, source: 0, sink: layers })
  const tokensPerS = new Map<string, number>()
  groups.forEach((group, index) => {
    for (const { target, rate } of group.members) {
      const share = flow.flows[index]! * rate / group.capacity
      if (share > 0) tokensPerS.set(target, share)
    }
  })
  return { boundTokensPerS: flow.value, tokensPerS }
}

function groupByRange ({ model, targets, isUsable }: FlowInput): RangeGroup[] {
  const groups = new Map<string, RangeGroup>()
  for (const { target, fromLayer, toLayer } of model.placement) {
    if (!isUsable(target) || toLayer <= fromLayer || toLayer > model.layers) continue
    const rate = computeRate(targets.get(target), toLayer === model.layers)
    const key = `${fromLayer}:${toLayer}`
    const group = groups.get(key) ?? { fromLayer, toLayer, capacity: 0, members: [] }
    group.capacity += rate
    group.members.push({ target, rate })
    groups.set(key, group)
  }
  return [...groups.values()]
}

/** Output rate of an engine: the lower of its own rate and that of its link to the next stage. */
function computeRate (target: Target | undefined, isLast: boolean): number {
  const rate = target?.tokensPerS ?? DEFAULT_TOKENS_PER_S
  const link = target?.link?.tokensPerS
  return isLast || link === undefined ? rate : Math.min(rate, link)
}
