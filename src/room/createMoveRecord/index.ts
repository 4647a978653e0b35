/**
 * Keeps what a host has moved to engines lately and which engines refused a move. All hosts move streams
 * off a lost group at the same moment; each one therefore orders only its share of what an engine can read
 * in the meantime, and leaves an engine alone that had no room until it can have some.
 */
import type { EngineModel, Path, Target } from '../../fleet/types.js'
import type { Runtime } from '../../runtime/types.js'

/** Moves of one host. */
export interface MoveRecord {
  /** Whether an engine can take a move now; `usedTokenLayers` is its cache in use, as far as this host knows. */
  mayTake: (targetId: string, usedTokenLayers: number) => boolean
  /** Counts the new stages of a path for a stream of some tokens. */
  noteMove: (path: Path, previousPath: Path, tokens: number, model: EngineModel) => void
  /** Notes that an engine refused a move. */
  noteRefused: (targetId: string, usedTokenLayers: number) => void
}

/** Time over which moves to an engine are counted, in milliseconds; hosts know of each other's after it. */
const WINDOW_MS = 100

/** Longest time for which an engine that refused a move is left alone, in milliseconds: its own figures are as old, and streams end meanwhile. */
const REFUSED_MS = 500

/** Share of an engine's cache in use that must have come free before another move. */
const FREED_SHARE = 0.02

/** What an engine has to read for moves in one window. */
interface Reading {
  untilMs: number
  readMs: number
  /** Of the last move; the next one is taken to be like it. */
  lastMs: number
}

interface Refusal {
  untilMs: number
  usedTokenLayers: number
}

/**
 * @name createMoveRecord
 * @summary Creates the record of a host that has moved nothing yet.
 * @param options - The runtime and the number of hosts.
 * @returns The record.
 *
 * @example
 * if (record.mayTake(id, loadOf(id).tokenLayers)) record.noteMove(path, previousPath, tokens, model)
 */
export function createMoveRecord ({ runtime, hostCount }: { runtime: Runtime, hostCount: () => number }): MoveRecord {
  const readings = new Map<string, Reading>()
  const refusals = new Map<string, Refusal>()
  return {
    mayTake (targetId, usedTokenLayers) {
      const nowMs = runtime.monotonicMs()
      const refusal = refusals.get(targetId)
      if (refusal !== undefined) {
        if (nowMs < refusal.untilMs && usedTokenLayers > refusal.usedTokenLayers * (1 - FREED_SHARE)) return false
        refusals.delete(targetId)
      }
      const reading = readings.get(targetId)
      if (reading === undefined) return true
      if (nowMs >= reading.untilMs) {
        readings.delete(targetId)
        return true
      }
      return reading.readMs + reading.lastMs <= WINDOW_MS / Math.max(1, hostCount())
    },
    noteMove (path, previousPath, tokens, model) {
      const nowMs = runtime.monotonicMs()
      for (const { target, from, to } of path) {
        if (previousPath.some(stage => stage.target.id === target.id && stage.from === from && stage.to === to)) continue
        const known = readings.get(target.id)
        const reading = known === undefined || nowMs >= known.untilMs ? { untilMs: nowMs + WINDOW_MS, readMs: 0, lastMs: 0 } : known
        reading.lastMs = estimateReadMs(target, tokens, to - from, model)
        reading.readMs += reading.lastMs
        readings.set(target.id, reading)
      }
    },
    noteRefused (targetId, usedTokenLayers) {
      const nowMs = runtime.monotonicMs()
      for (const [id, { untilMs }] of refusals) if (untilMs <= nowMs) refusals.delete(id)
      refusals.set(targetId, { untilMs: nowMs + REFUSED_MS, usedTokenLayers })
    }
  }
}

/** Time that an engine takes to read tokens through some layers, in milliseconds. */
function estimateReadMs ({ kind }: Target, tokens: number, layers: number, model: EngineModel): number {
  const factor = kind === undefined ? undefined : model.kinds[kind]?.prefillFactor
  return tokens / model.prefillTokensPerMs * (factor ?? 1) * layers / model.layerCount
}
