/**
 * Maximum flow by Dinic's algorithm (E. A. Dinic, "Algorithm for solution of a problem of maximum
 * flow in networks with power estimation", 1970): breadth-first levels, then blocking flows by
 * depth-first search with one edge cursor per node.
 */
import type { FlowEdge, MaxFlow } from '../types.js'

/** Residual capacities up to this are taken as zero, since rates are not whole numbers and sums of them are inexact. */
const EPSILON = 1e-9

/** The residual graph. Its edges are stored in pairs: `2 * n` is the n-th given edge, `2 * n + 1` its reverse. */
interface ResidualGraph {
  /** End node of each edge. */
  to: Int32Array
  /** Residual capacity of each edge. */
  left: Float64Array
  /** Numbers of the edges that leave each node. */
  leaving: number[][]
}

/**
 * @name computeMaxFlow
 * @summary Computes the largest flow from a source to a sink.
 * @param edges - Edges with capacities of at least 0.
 * @param options - Number of nodes, source and sink.
 * @returns The value of the flow and the flow on each edge.
 *
 * @example
 * computeMaxFlow([{ from: 0, to: 1, capacity: 5 }], { nodes: 2, source: 0, sink: 1 }).value // 5
 */
export function computeMaxFlow (
  edges: readonly FlowEdge[],
  options: { nodes: number, source: number, sink: number }
): MaxFlow {
  const { nodes, source, sink } = options
  const residual = buildResidualGraph(edges, nodes)
  let value = 0
  for (;;) {
    const levels = computeLevels(residual, nodes, source)
    if (levels[sink]! < 0) break
    const cursors = new Int32Array(nodes)
    for (;;) {
      const pushed = pushFlow(residual, levels, cursors, source, sink, Infinity)
      if (pushed <= EPSILON) break
      value += pushed
    }
  }
  return { value, flows: edges.map((edge, index) => edge.capacity - residual.left[2 * index]!) }
}

function buildResidualGraph (edges: readonly FlowEdge[], nodes: number): ResidualGraph {
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

/** Distance of each node from the source, in edges with residual capacity; -1 for nodes that cannot be reached. */
function computeLevels ({ to, left, leaving }: ResidualGraph, nodes: number, source: number): Int32Array {
  const levels = new Int32Array(nodes).fill(-1)
  levels[source] = 0
  const queue = [source]
  for (let at = 0; at < queue.length; at++) {
    const node = queue[at]!
    for (const edge of leaving[node]!) {
      const next = to[edge]!
      if (levels[next]! >= 0 || left[edge]! <= EPSILON) continue
      levels[next] = levels[node]! + 1
      queue.push(next)
    }
  }
  return levels
}

/** Pushes flow along one path whose level rises by one with each edge, and returns its amount; the recursion is at most as deep as there are levels. */
function pushFlow (residual: ResidualGraph, levels: Int32Array, cursors: Int32Array, node: number, sink: number, limit: number): number {
  if (node === sink) return limit
  const { to, left, leaving } = residual
  const edges = leaving[node]!
  for (; cursors[node]! < edges.length; cursors[node]!++) {
    const edge = edges[cursors[node]!]!
    const next = to[edge]!
    if (left[edge]! <= EPSILON || levels[next] !== levels[node]! + 1) continue
    const pushed = pushFlow(residual, levels, cursors, next, sink, Math.min(limit, left[edge]!))
    if (pushed <= EPSILON) continue
    left[edge]! -= pushed
    left[edge ^ 1]! += pushed
    return pushed
  }
  return 0
}
