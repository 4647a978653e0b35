/**
 * Maximum flow by Dinic's method (E. A. Dinic, "Algorithm for solution of a problem of maximum
 * flow in networks with power estimation", 1970): breadth-first levels, then blocking flows by
 * depth-first search with one edge cursor a node.
 */
import type { FlowEdge, MaxFlow } from '../types.js'

/** Residual capacities below this are taken as zero, since rates are not whole numbers. */
const NEGLIGIBLE = 1e-9

/** Edges in pairs: `2 * n` is the n-th given edge, `2 * n + 1` its reverse. */
interface Residual {
  to: Int32Array
  left: Float64Array
  /** Edge numbers that leave each node. */
  leaving: number[][]
}

/**
 * @name computeMaxFlow
 * @summary The largest flow from a source to a sink.
 * @param edges - Edges with capacities of at least 0.
 * @param options - Number of nodes, source and sink.
 * @returns The flow's value and its part on each edge.
 *
 * @example
 * computeMaxFlow([{ from: 0, to: 1, capacity: 5 }], { nodes: 2, source: 0, sink: 1 }).value // 5
 */
export function computeMaxFlow (
  edges: readonly FlowEdge[],
  options: { nodes: number, source: number, sink: number }
): MaxFlow {
  const { nodes, source, sink } = options
  const residual = buildResidual(edges, nodes)
  let value = 0
  for (;;) {
    const levels = computeLevels(residual, nodes, source)
    if (levels[sink]! < 0) break
    const cursors = new Int32Array(nodes)
    for (;;) {
      const pushed = push(residual, levels, cursors, source, sink, Infinity)
      if (pushed <= NEGLIGIBLE) break
      value += pushed
    }
  }
  return { value, flows: edges.map((edge, index) => edge.capacity - residual.left[2 * index]!) }
}

function buildResidual (edges: readonly FlowEdge[], nodes: number): Residual {
  const to = new Int32Array(2 * edges.length)
  const left = new Float64Array(2 * edges.length)
  const leaving: number[][] = Array.from({ length: nodes }, () => [])
  edges.forEach((edge, index) => {
    to[2 * index] = edge.to
    to[2 * index + 1] = edge.from
    left[2 * index] = edge.capacity
    leaving[edge.from]!.push(2 * index)
    leaving[edge.to]!.push(2 * index + 1)
  })
  return { to, left, leaving }
}

function computeLevels ({ to, left, leaving }: Residual, nodes: number, source: number): Int32Array {
  const levels = new Int32Array(nodes).fill(-1)
  levels[source] = 0
  const queue = [source]
  for (let at = 0; at < queue.length; at++) {
    const node = queue[at]!
    for (const edge of leaving[node]!) {
      const next = to[edge]!
      if (levels[next]! >= 0 || left[edge]! <= NEGLIGIBLE) continue
      levels[next] = levels[node]! + 1
      queue.push(next)
    }
  }
  return levels
}

/** Pushes flow along one path of rising levels; the depth is at most the number of levels. */
function push (residual: Residual, levels: Int32Array, cursors: Int32Array, node: number, sink: number, limit: number): number {
  if (node === sink) return limit
  const { to, left, leaving } = residual
  const edges = leaving[node]!
  for (; cursors[node]! < edges.length; cursors[node]!++) {
    const edge = edges[cursors[node]!]!
    const next = to[edge]!
    if (left[edge]! <= NEGLIGIBLE || levels[next] !== levels[node]! + 1) continue
    const pushed = push(residual, levels, cursors, next, sink, Math.min(limit, left[edge]!))
    if (pushed <= NEGLIGIBLE) continue
    left[edge]! -= pushed
    left[edge ^ 1]! += pushed
    return pushed
  }
  return 0
}
