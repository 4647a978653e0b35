/**
 * Shapes of the stand-in engine.
 */
import type { OpenSequence } from '../../src/engine/types.js'

/** What passes from stage to stage. */
export interface LinkFrame {
  kind: 'prefill' | 'step' | 'feedback' | 'finish'
  request: string
  attempt: number
  /** Position in the answer of the (last) activation. */
  position: number
  /** Activations of consecutive positions, the last of which is `position`. */
  activations: number[]
  token?: string
}

/** One run of a stage's layers, as the ledger keeps it. */
export interface LedgerRow {
  request: string
  attempt: number
  position: number
  fromLayer: number
  toLayer: number
  /** `rebuild` runs give no token: they restore KV cache, or recompute activations for it. */
  mode: 'run' | 'rebuild'
}

/** Faults that can be switched while an engine runs. */
export interface EngineFaults {
  /** Nothing is computed and nothing answered until switched back; connections stay open. */
  frozen: boolean
  /** Connections that are open now stay open and carry nothing more; new ones work. */
  silenceOpen: boolean
  /** Added to each frame to the next stage. */
  linkDelayMs: number
  /** Frames to the next stage are lost. */
  linkCut: boolean
  leaving: boolean
  checksFencing: boolean
}

/** A sequence on one stage. */
export interface Sequence extends OpenSequence {
  /** Next position that this stage accepts. */
  nextPosition: number
  /** KV state after each position. */
  kv: number[]
  /** Tokens of the answer so far; kept by the first and the last stage. */
  tokens: string[]
  /** Frames taken and not yet computed. */
  queued: number
  /** Set while no caller is connected; frees the sequence when it runs out. */
  hold?: Disposable
}

/** What is remembered of a sequence that has ended: its fence and its tokens, without KV cache. */
export interface EndedSequence {
  attempt: number
  firstPosition: number
  nextPosition: number
  tokens: string[]
}
