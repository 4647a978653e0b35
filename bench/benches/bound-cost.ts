/**
 * Time to compute the throughput bound for 3,800 engines and 11 models: grouped by layer
 * range, and with one edge per engine and per link between engines.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { computeFlowShares } from '../../src/route/computeFlowShares/index.js'
import { computeMaxFlow } from '../../src/route/computeMaxFlow/index.js'
import type { FlowEdge } from '../../src/route/types.js'
import { modelScopeSchema, targetSchema, type ModelScope, type Target } from '../../src/ticket/types.js'

const ENGINES = 3_800
const MODELS = 11
const RANGES = 8
const LAYERS_PER_RANGE = 10
const ENGINE_TOKENS_PER_S = [60, 200, 400]
const ROUNDS = 10

export async function run ({ seed }: { seed: number }): Promise<Record<string, unknown>> {
  const generator = xoroshiro128plus(seed)
  const targets = new Map<string, Target>()
  const models = Array.from({ length: MODELS }, (_, model): ModelScope => {
    const placement = Array.from({ length: Math.floor(ENGINES / MODELS) }, (_, index) => {
      const target = `engine-${model}-${index}`
      const range = index % RANGES
      const tokensPerS = ENGINE_TOKENS_PER_S[uniformInt(generator, 0, 2)]!
      targets.set(target, targetSchema.parse({ name: target, host: target, kind: 'engine', tokensPerS }))
      return { target, fromLayer: range * LAYERS_PER_RANGE, toLayer: (range + 1) * LAYERS_PER_RANGE }
    })
    return modelScopeSchema.parse({ layers: RANGES * LAYERS_PER_RANGE, version: '1', placement })
  })
  const isUsable = (): boolean => true
  const byRangeMs = measureMedianMs(() => models.forEach(model => computeFlowShares({ model, targets, isUsable })))
  const byEngineMs = measureMedianMs(() => models.forEach(model => computeByEngine(model, targets)))
  return { engines: targets.size, models: MODELS, byRangeMs, byEngineMs }
}

/** Median duration of several rounds, in milliseconds. */
function measureMedianMs (work: () => void): number {
  const times = Array.from({ length: ROUNDS }, () => {
    const startMs = performance.now()
    work()
    return performance.now() - startMs
  })
  times.sort((a, b) => a - b)
  return Math.round(100 * times[ROUNDS / 2]!) / 100
}

function computeByEngine ({ placement, layers }: ModelScope, targets: ReadonlyMap<string, Target>): number {
  const inputNode = (index: number): number => 2 + 2 * index
  const edges: FlowEdge[] = []
  placement.forEach((part, index) => {
    edges.push({ from: inputNode(index), to: inputNode(index) + 1, capacity: targets.get(part.target)!.tokensPerS! })
    if (part.fromLayer === 0) edges.push({ from: 0, to: inputNode(index), capacity: 1e9 })
    if (part.toLayer === layers) edges.push({ from: inputNode(index) + 1, to: 1, capacity: 1e9 })
    placement.forEach((next, nextIndex) => {
      if (next.fromLayer === part.toLayer) edges.push({ from: inputNode(index) + 1, to: inputNode(nextIndex), capacity: 1e9 })
    })
  })
  return computeMaxFlow(edges, { nodes: 2 + 2 * placement.length, source: 0, sink: 1 }).value
}
