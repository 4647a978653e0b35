import test from 'ava'
import fc from 'fast-check'
import { modelScopeSchema, targetSchema, type Target } from '../../ticket/types.js'
import { computeMaxFlow } from '../computeMaxFlow/index.js'
import { computeFlowShares } from './index.js'

const LAYERS = 4
const engines = fc.array(fc.record({
  fromLayer: fc.nat(LAYERS - 1), width: fc.integer({ min: 1, max: LAYERS }), tokensPerS: fc.integer({ min: 1, max: 100 }), link: fc.integer({ min: 1, max: 100 })
}), { minLength: 1, maxLength: 12 })

function build (parts: Array<{ fromLayer: number, width: number, tokensPerS: number, link: number }>) {
  const placement = parts.map((part, index) => ({ target: `e${index}`, fromLayer: part.fromLayer, toLayer: Math.min(LAYERS, part.fromLayer + part.width) }))
  const model = modelScopeSchema.parse({ layers: LAYERS, version: '1', placement })
  const targets = new Map<string, Target>(parts.map(({ tokensPerS, link }, index) =>
    [`e${index}`, targetSchema.parse({ name: `e${index}`, host: `e${index}`, kind: 'engine', tokensPerS, link: { tokensPerS: link, delayMs: 1 } })]))
  return { model, targets, placement }
}

test('the bound equals that of a network with an edge for every engine and link', t => {
  fc.assert(fc.property(engines, parts => {
    const { model, targets, placement } = build(parts)
    const nodes = LAYERS + 1 + 2 * parts.length
    const edges = placement.flatMap(({ fromLayer, toLayer }, index) => {
      const entering = LAYERS + 1 + 2 * index
      const { tokensPerS, link } = parts[index]!
      return [
        { from: fromLayer, to: entering, capacity: 1e6 },
        { from: entering, to: entering + 1, capacity: tokensPerS },
        { from: entering + 1, to: toLayer, capacity: toLayer === LAYERS ? 1e6 : link }
      ]
    })
    const fullNetworkFlow = computeMaxFlow(edges, { nodes, source: 0, sink: LAYERS }).value
    return Math.abs(computeFlowShares({ model, targets, isUsable: () => true }).boundTokensPerS - fullNetworkFlow) < 1e-6
  }), { seed: 6, numRuns: 500 })
  t.pass()
})

test('an unusable target carries no flow', t => {
  const { model, targets } = build([
    { fromLayer: 0, width: 4, tokensPerS: 10, link: 1 },
    { fromLayer: 0, width: 4, tokensPerS: 30, link: 1 }
  ])
  const shares = computeFlowShares({ model, targets, isUsable: target => target !== 'e1' })
  t.is(shares.boundTokensPerS, 10)
  t.deepEqual([...shares.tokensPerS], [['e0', 10]])
})
