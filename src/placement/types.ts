/**
 * Control interface of engines beside requests, and the input and output of placement planning.
 */
import type { LayerRange, Path, Target } from '../fleet/types.js'

/** State of an engine as it reports it. */
export interface EngineReport {
  /** Unix time of its start in milliseconds. */
  bornMs: number
  /** Number of orders that it accepted since its start. */
  orderCount: number
  /** Whether an order is in progress. */
  isBusy: boolean
  layers: LayerRange | undefined
}

/** Outcome of an order as far as the caller knows. */
export type OrderResult =
  /** The engine accepted the order and carries it out. */
  | { kind: 'begun' }
  /** The engine has carried the order out. */
  | { kind: 'done' }
  /** The engine answered with an error status; `faultyAddress` is the stage that it blames. */
  | { kind: 'refused', status: number, faultyAddress: string | undefined }
  /** The engine did not answer and may still carry the order out later. */
  | { kind: 'unknown', cause: string }

/** Sends orders and queries to engines. */
export interface EngineControl {
  /** Reads the state of an engine; `undefined` when it does not answer. */
  report: (target: Target) => Promise<EngineReport | undefined>
  /** Orders an engine to load a range of layers, on the condition that it has accepted `orderCount` orders so far. */
  place: (target: Target, range: LayerRange, options: { orderCount: number, fencing: number }) => Promise<OrderResult>
  /** Moves a request in progress to another path with the same first stage. */
  repath: (target: Target, requestId: string, path: Path) => Promise<OrderResult>
  /** Whether a connection to the target can be opened. */
  isReachable: (target: Target) => Promise<boolean>
}

/** An engine as input of planning. */
export interface PlacementEngine {
  target: Target
  /** Layers that it holds or is loading. */
  layers: LayerRange | undefined
  /** Whether requests can be sent to it now or once it has loaded. */
  isUsable: boolean
  /** Whether it may be given an order. */
  isIdle: boolean
}

/** One load to order. */
export interface PlannedLoad {
  target: Target
  range: LayerRange
}
