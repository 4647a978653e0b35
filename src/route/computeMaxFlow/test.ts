import test from 'ava'
import fc from 'fast-check'
import { computeMaxFlow } from './index.js'

const NODES = 6
const networks = fc.array(fc.record({
  from: fc.nat(NODES - 1), to: fc.nat(NODES - 1), capacity: fc.nat(20)
}), { maxLength: 16 })

/** Capacity of the minimum cut between node 0 and the last one, by trying every cut. */
function findMinCut (edges: Array<{ from: number, to: number, capacity: number }>): number {
  let minimum = Infinity
  for (let set = 1; set < 1 << NODES; set += 2) {
    if (set & (1 << (NODES - 1))) continue
    const crossing = edges.filter(edge => (set >> edge.from) & 1 && !((set >> edge.to) & 1))
    minimum = Math.min(minimum, crossing.reduce((sum, edge) => sum + edge.capacity, 0))
  }
  return minimum
}

test('the flow equals the minimum cut', t => {
  fc.assert(fc.property(networks, edges => {
    return computeMaxFlow(edges, { nodes: NODES, source: 0, sink: NODES - 1 }).value === findMinCut(edges)
  }), { seed: 6, numRuns: 2_000 })
  t.pass()
})

test('no edge exceeds its capacity and flow is conserved at every inner node', t => {
  fc.assert(fc.property(networks, edges => {
    const { flows } = computeMaxFlow(edges, { nodes: NODES, source: 0, sink: NODES - 1 })
    const balance = new Array<number>(NODES).fill(0)
    edges.forEach((edge, index) => {
      balance[edge.from]! -= flows[index]!
      balance[edge.to]! += flows[index]!
    })
    return edges.every((edge, index) => flows[index]! >= 0 && flows[index]! <= edge.capacity) && balance.slice(1, -1).every(sum => sum === 0)
  }), { seed: 6, numRuns: 500 })
  t.pass()
})

test('flow along the shortest paths is rerouted where that increases the flow', t => {
  const [source, a, b, c, d, e, sink] = [0, 1, 2, 3, 4, 5, 6]
  const pairs = [[source, a], [source, b], [a, c], [a, d], [b, c], [c, sink], [d, e], [e, sink]] as const
  const edges = pairs.map(([from, to]) => ({ from, to, capacity: 1 }))
  t.is(computeMaxFlow(edges, { nodes: 7, source, sink }).value, 2)
})
