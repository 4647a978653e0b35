/**
 * What engines are told and asked beside requests, and what placement is planned from.
 */
import type { LayerRange, Path, Target } from '../fleet/types.js'

/** State of an engine by its own word. */
export interface EngineReport {
  bornMs: number
  /** Orders accepted since its start. */
  orderCount: number
  /** Whether an order is in progress. */
  isBusy: boolean
  layers: LayerRange | undefined
}

/** What became of an order. */
export type OrderResult =
  | { kind: 'begun' }
  /** The engine is in the ordered state. */
  | { kind: 'done' }
  | { kind: 'refused', status: number, faultyAddress: string | undefined }
  /** No answer: the order may be carried out, now or later. */
  | { kind: 'unknown', cause: string }

/** Orders and questions to engines. */
export interface EngineControl {
  /** `undefined` when the engine does not answer. */
  report: (target: Target) => Promise<EngineReport | undefined>
  place: (target: Target, range: LayerRange, options: { orderCount: number, fencing: number }) => Promise<OrderResult>
  /** Moves a request in progress to another path with the same first stage. */
  repath: (target: Target, requestId: string, path: Path) => Promise<OrderResult>
  /** Whether a connection to the target can be opened. */
  isReachable: (target: Target) => Promise<boolean>
}

/** An engine as the planner sees it. */
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
