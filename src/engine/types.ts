/**
 * Port to a model engine that holds a range of a model's layers. The entry opens one sequence
 * on each stage of a chain; engines pass activations along and the last one streams tokens.
 */
import type { Stream } from 'most'

/** A half-open range of layers. */
export interface LayerRange {
  fromLayer: number
  /** Exclusive. */
  toLayer: number
}

/** What one stage is told when a sequence is opened. */
export interface OpenSequence extends LayerRange {
  request: string
  /** Fence of the sequence: a stage refuses attempts below the highest it has seen. */
  attempt: number
  model: string
  /** First position of the answer that this attempt produces. */
  firstPosition: number
  prompt: string
  /** Tokens of the answer before `firstPosition`. */
  given: string[]
  maxTokens: number
  priority: number
  /** Address of the next stage; absent on the last one. */
  next?: string
  /** Address of the first stage, to which the last one feeds each token back. */
  first: string
  /** Positions whose KV cache this stage must still hold; it refuses when it does not. */
  keptPositions: number
  /** First position whose activation reaches this stage. */
  runFrom: number
  /** First position whose output this stage passes on; later stages hold the ones before. */
  passFrom: number
}

/** One token of an answer. */
export interface TokenFrame {
  attempt: number
  /** Position in the answer, from 0. */
  position: number
  token: string
  /** Set on the last token of the answer. */
  last?: boolean
}

/** An open stage. Disposal cancels the sequence on the engine. */
export interface OpenStage extends AsyncDisposable {
  target: string
  /** Tokens; empty but for the last stage. Ends with the answer, fails when the stage is lost. */
  frames: Stream<TokenFrame>
  /** Stops reading from the engine until `resume`. */
  pause: () => void
  resume: () => void
  isPaused: () => boolean
  /** Closes the connection; the engine holds the sequence and its KV cache for a while. */
  detach: () => void
  /** Lets the stream of a complete answer end by itself, so that its connection can be used again. */
  finish: () => void
}

/** Why an engine refuses to open a sequence. */
export type RefusalReason = 'leaving' | 'layersNotHeld' | 'superseded' | 'cacheNotHeld'

/** What an engine knows of a sequence. */
export interface HeldSequence {
  /** `held` while no caller is connected; `ended` once the KV cache is freed. */
  state: 'running' | 'held' | 'ended'
  attempt: number
  firstPosition: number
  /** Next position that this stage accepts. */
  nextPosition: number
  /** Positions whose KV cache is held. */
  keptPositions: number
  /** Whether work of this sequence waits or runs here. */
  busy: boolean
  /** Tokens of the answer so far; empty but on the first and the last stage. */
  tokens: string[]
  /** Address of the next stage. */
  next?: string
}

/** Result of asking an engine for a sequence. */
export type HeldResult =
  | { kind: 'known', held: HeldSequence }
  | { kind: 'unknown' }
  | { kind: 'unreachable', cause: string }

/** Result of opening a stage. */
export type OpenResult =
  | { kind: 'open', stage: OpenStage }
  /** The engine refused by its protocol: nothing ran. */
  | { kind: 'refused', status: number, cause: string, reason?: RefusalReason, attempt?: number }
  /** No connection: nothing was sent. */
  | { kind: 'unreachable', cause: string }
  /** Sent, and no answer came. */
  | { kind: 'lost', cause: string }

/** What an engine reports of itself. */
export interface EngineStatus {
  target: string
  /** Model and layers that it serves now. */
  model: string | null
  version: string | null
  fromLayer: number
  toLayer: number
  /** Highest fencing number of an order that it accepted. */
  fencing: number
  sequences: number
  leaving: boolean
}

/** Desired state of an engine, with the fencing number of the order. */
export interface EngineOrder extends LayerRange {
  model: string
  version: string
  fencing: number
}

/** A target's address and name. */
export interface EngineEndpoint {
  target: string
  /** `ip:port`. */
  address: string
}

/** All that the product asks of engines. */
export interface EngineClient extends AsyncDisposable {
  open: (endpoint: EngineEndpoint, sequence: OpenSequence, options: { signal: AbortSignal, connectTimeoutMs: number, useNewConnection?: boolean }) => Promise<OpenResult>
  /** What the engine knows of a sequence. */
  held: (endpoint: EngineEndpoint, request: string, options: { timeoutMs: number, useNewConnection?: boolean }) => Promise<HeldResult>
  /** Frees a sequence up to an attempt; best effort, never rejects. */
  cancel: (endpoint: EngineEndpoint, request: string, attempt: number, options: { timeoutMs: number }) => Promise<void>
  status: (endpoint: EngineEndpoint, options: { timeoutMs: number, useNewConnection?: boolean }) => Promise<{ kind: 'status', status: EngineStatus } | { kind: 'unreachable', cause: string }>
  order: (endpoint: EngineEndpoint, order: EngineOrder, options: { timeoutMs: number }) => Promise<{ kind: 'accepted' } | { kind: 'refused', cause: string } | { kind: 'unreachable', cause: string }>
}
