/**
 * Types of the stand-in engine.
 */
import type { OpenSequence } from '../../src/engine/types.js'

/** Message from one stage to another. */
export interface LinkFrame {
  kind: 'prefill' | 'step' | 'feedback' | 'finish'
  request: string
  attempt: number
  /** Position in the answer that the last activation belongs to. */
  position: number
  /** Activations of consecutive positions that end at `position`. */
  activations: number[]
  token?: string
}

/** Ledger entry for one run of a stage's layers. */
export interface LedgerRow {
  request: string
  attempt: number
  position: number
  fromLayer: number
  toLayer: number
  /** A `rebuild` run produces no token: it restores KV cache, or recomputes activations for it. */
  mode: 'run' | 'rebuild'
}

/** Faults that can be turned on and off while an engine runs. */
export interface EngineFaults {
  /** Nothing is computed or answered until this is turned off; connections stay open. */
  frozen: boolean
  /** Callers' connections that are open now stay open but carry no more data; new ones work. */
  silenceOpen: boolean
  /** Delay added to each frame to another stage, in milliseconds. */
  linkDelayMs: number
  /** Frames to other stages are dropped. */
  linkCut: boolean
  /** New sequences are refused; running and held ones can be reopened. */
  leaving: boolean
  /** Orders with an outdated fencing number are refused. */
  checksFencing: boolean
}

/** A sequence on one stage. */
export interface Sequence extends OpenSequence {
  /** Next position that this stage accepts. */
  nextPosition: number
  /** KV state after each position. */
  kv: number[]
  /** Tokens of the answer so far; only the first and the last stage keep them. */
  tokens: string[]
  /** Number of frames that were received and not yet computed. */
  queued: number
  /** Timer that is set while no caller is connected; it frees the sequence when it fires. */
  hold?: Disposable
}

/** Record of an ended sequence: its latest attempt and its tokens, without KV cache. */
export interface EndedSequence {
  attempt: number
  firstPosition: number
  nextPosition: number
  tokens: string[]
}
