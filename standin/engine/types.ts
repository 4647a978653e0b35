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
  /** Activations: one for a step; for a prefill, the prompt's and those of the given tokens. */
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
  /** `rebuild` runs give no token: they restore KV cache. */
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
  /** KV state after the prompt and each position: `kv[0]` after the prompt. */
  kv: number[]
}
