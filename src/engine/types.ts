/**
 * Interface to model engines, each of which holds a range of a model's layers. The entry opens a
 * sequence on every stage of a chain; each engine passes activations to the next one, and the last
 * one streams tokens to the entry.
 */
import type { Stream } from 'most'

/** A half-open range of layers. */
export interface LayerRange {
  fromLayer: number
  /** Exclusive. */
  toLayer: number
}

/** Request to open a sequence on one stage. */
export interface OpenSequence extends LayerRange {
  /** Name of the sequence. */
  request: string
  /** Fencing number of the sequence: a stage refuses attempts below the highest one it has seen. */
  attempt: number
  model: string
  /** First position of the answer that this attempt produces. */
  firstPosition: number
  /** Sent to the first stage; empty for the others. */
  prompt: string
  /** Tokens of the answer before `firstPosition`; sent to the first and the last stage, empty for the others. */
  given: string[]
  maxTokens: number
  priority: number
  /** Address of the next stage; absent on the last one. */
  next?: string
  /** Address of the first stage, to which the last one sends each token back. */
  first: string
  /** Number of positions whose KV cache this stage must still hold; otherwise it refuses with `cacheNotHeld`. */
  keptPositions: number
  /** First position whose activation reaches this stage. */
  runFrom: number
  /** First position whose output this stage passes on; later stages hold the KV cache of the ones before. */
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
  /** Tokens of the answer; only the last stage sends any. Ends with the answer, fails when the stage is lost. */
  frames: Stream<TokenFrame>
  /** Stops reading from the engine until `resume`. */
  pause: () => void
  resume: () => void
  isPaused: () => boolean
  /** Closes the connection; the engine holds the sequence and its KV cache for a limited time. */
  detach: () => void
  /** Lets the stream of a complete answer end by itself, so that its connection can be reused. */
  finish: () => void
}

/** Why an engine refuses to open a sequence. */
export type RefusalReason = 'leaving' | 'layersNotHeld' | 'superseded' | 'cacheNotHeld'

/** State of a sequence on an engine. */
export interface HeldSequence {
  /** `held` while no caller is connected; `ended` once the KV cache is freed. */
  state: 'running' | 'held' | 'ended'
  attempt: number
  firstPosition: number
  /** Next position that this stage accepts. */
  nextPosition: number
  /** Number of positions whose KV cache is held. */
  keptPositions: number
  /** Whether work of this sequence is queued or running here. */
  busy: boolean
  /** Tokens of the answer so far; empty except on the first and the last stage. */
  tokens: string[]
  /** Address of the next stage. */
  next?: string
}

/** Result of asking an engine for the state of a sequence. */
export type HeldResult =
  | { kind: 'known', held: HeldSequence }
  | { kind: 'unknown' }
  | { kind: 'unreachable', cause: string }

/** Result of opening a stage. */
export type OpenResult =
  | { kind: 'open', stage: OpenStage }
  /** The engine refused, so nothing ran. `attempt` is the highest attempt that it knows of. */
  | { kind: 'refused', status: number, cause: string, reason?: RefusalReason, attempt?: number }
  /** No connection was established, so nothing was sent. */
  | { kind: 'unreachable', cause: string }
  /** The request may have been sent, and no whole response came. */
  | { kind: 'lost', cause: string }

/** Status that an engine reports about itself. */
export interface EngineStatus {
  target: string
  /** Model that it serves; `null` when it serves none. */
  model: string | null
  version: string | null
  fromLayer: number
  toLayer: number
  /** Highest fencing number of the orders that it accepted. */
  fencing: number
  /** Number of sequences that it holds. */
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

/** Client for engines. With `useNewConnection` no kept-alive connection is reused. */
export interface EngineClient extends AsyncDisposable {
  open: (endpoint: EngineEndpoint, sequence: OpenSequence, options: { signal: AbortSignal, connectTimeoutMs: number, useNewConnection?: boolean }) => Promise<OpenResult>
  /** Asks for the state of a sequence, by its name. */
  held: (endpoint: EngineEndpoint, request: string, options: { timeoutMs: number, useNewConnection?: boolean }) => Promise<HeldResult>
  /** Frees a sequence on the engine, for attempts up to `attempt`; best effort, never rejects. */
  cancel: (endpoint: EngineEndpoint, request: string, attempt: number, options: { timeoutMs: number }) => Promise<void>
  /** Asks for the engine's status. */
  status: (endpoint: EngineEndpoint, options: { timeoutMs: number, useNewConnection?: boolean }) => Promise<{ kind: 'status', status: EngineStatus } | { kind: 'unreachable', cause: string }>
  /** Orders an engine to serve a range of a model's layers. */
  order: (endpoint: EngineEndpoint, order: EngineOrder, options: { timeoutMs: number }) => Promise<{ kind: 'accepted' } | { kind: 'refused', cause: string } | { kind: 'unreachable', cause: string }>
}
