/**
 * A stand-in engine without a network: its sequences, KV state, ledger, timing, and the refusal of
 * outdated attempts and orders.
 */
import type { EngineOrder, EngineStatus, HeldSequence, OpenSequence, RefusalReason } from '../../../src/engine/types.js'
import type { Runtime } from '../../../src/runtime/types.js'
import { createSimulatedDevice } from '../_lib/createSimulatedDevice.js'
import { createSequenceTable } from '../_lib/createSequenceTable.js'
import { embed, extendKv, decodeToken, runLayers } from '../model.js'
import type { EngineFaults, LedgerRow, LinkFrame, Sequence } from '../types.js'

/** Number of rows above which the older half of the ledger is dropped. */
const MAX_LEDGER_ROWS = 500_000

/** Layers and speed of an engine, and the functions through which it sends. */
export interface EngineOptions {
  target: string
  model: string | null
  version: string | null
  fromLayer: number
  toLayer: number
  /** Positions per second through all layers of the engine. */
  tokensPerS: number
  /** Minimum duration of one step, in milliseconds. */
  stepMs: number
  /** Bandwidth of the link to the next stage, in activations per second; no limit by default. */
  linkTokensPerS?: number | undefined
  /** Delay of each frame to another stage, in milliseconds. */
  linkDelayMs?: number
  runtime: Runtime
  /** Sends a frame to the stage at an address. */
  sendLink: (address: string, frame: LinkFrame) => void
  /** Streams a token to the caller of the last stage; ends the stream after the last token. */
  sendToken: (sequence: Sequence, frame: { attempt: number, position: number, token: string, last?: boolean }) => void
  /** Ends the token stream of a sequence that is finished, or replaced by a new attempt. */
  endStream: (sequence: Sequence) => void
  /** Called with each ledger row when it is recorded. */
  onRow?: (row: LedgerRow) => void
}

/** Result of opening a sequence or of an order. */
export type EngineAnswer =
  | { kind: 'accepted' }
  | { kind: 'refused', status: number, cause: string, reason?: RefusalReason, attempt?: number }

/** A stand-in engine. */
export interface Engine extends Disposable {
  faults: EngineFaults
  status: () => EngineStatus
  /** Loads the model and layers of an order, unless its fencing number is outdated. */
  order: (order: EngineOrder) => EngineAnswer
  /** Opens a sequence, or reopens it under a newer attempt. */
  open: (sequence: OpenSequence) => EngineAnswer
  /** Processes a frame from another stage. */
  receive: (frame: LinkFrame) => void
  /** Frees a sequence permanently. */
  cancel: (request: string, attempt: number) => void
  /** Holds a sequence whose caller's connection closed, until it is reopened or the hold times out. */
  holdSequence: (request: string, attempt: number) => void
  /** State of a running, held or recently ended sequence. */
  held: (request: string) => HeldSequence | undefined
  /** Ledger rows, of one request or of all. */
  ledger: (request?: string) => LedgerRow[]
}

/**
 * @name createEngine
 * @summary Creates an engine that runs one range of layers.
 * @param options - Layers, speed, clock and the functions through which the engine sends.
 * @returns The engine.
 *
 * @example
 * const engine = createEngine({ target: 'engine-1', model: 'draft', fromLayer: 0, toLayer: 8, runtime, ...rest })
 */
export function createEngine (options: EngineOptions): Engine {
  const { target, runtime, sendLink, sendToken, endStream } = options
  const faults: EngineFaults = { frozen: false, silenceOpen: false, linkDelayMs: options.linkDelayMs ?? 0, linkCut: false, leaving: false, checksFencing: true }
  const table = createSequenceTable({ runtime })
  const device = createSimulatedDevice({ ...options, isFrozen: () => faults.frozen })
  const ledger: LedgerRow[] = []
  let loaded = { model: options.model, version: options.version, fromLayer: options.fromLayer, toLayer: options.toLayer }
  let fencing = 0
  let linkFreeAtMs = 0

  function open (sequence: OpenSequence): EngineAnswer {
    const previous = table.get(sequence.request)
    if (faults.leaving && previous === undefined) return { kind: 'refused', status: 503, cause: 'leaving', reason: 'leaving' }
    const isLoaded = loaded.model === sequence.model && loaded.fromLayer === sequence.fromLayer && loaded.toLayer === sequence.toLayer
    if (!isLoaded) return { kind: 'refused', status: 409, cause: 'these layers are not held here', reason: 'layersNotHeld' }
    const latestAttempt = table.latestAttempt(sequence.request)
    if (latestAttempt >= sequence.attempt) return { kind: 'refused', status: 409, cause: `attempt ${latestAttempt} was seen`, reason: 'superseded', attempt: latestAttempt }
    const kv = previous?.kv.slice(0, sequence.keptPositions) ?? []
    if (kv.length < sequence.keptPositions) return { kind: 'refused', status: 409, cause: 'the KV cache is not held here', reason: 'cacheNotHeld' }
    const opened: Sequence = { ...sequence, nextPosition: sequence.firstPosition, kv, tokens: [...sequence.given], queued: 0 }
    if (previous !== undefined) endStream(previous)
    table.put(opened)
    if (sequence.fromLayer === 0) start(opened)
    return { kind: 'accepted' }
  }

  /** Computes the first positions: position 0 from the prompt, each later one from the token before it. */
  function start (sequence: Sequence): void {
    const activations = [sequence.prompt, ...sequence.given].slice(sequence.runFrom).map(embed)
    compute(sequence, { kind: 'prefill', request: sequence.request, attempt: sequence.attempt, position: sequence.firstPosition, activations })
  }

  function receive (frame: LinkFrame): void {
    const sequence = table.get(frame.request)
    if (sequence === undefined || sequence.attempt !== frame.attempt) return
    if (frame.kind === 'finish') return finish(sequence)
    if (frame.kind !== 'feedback') return compute(sequence, frame)
    if (frame.position === sequence.tokens.length + 1) sequence.tokens.push(frame.token ?? '')
    compute(sequence, { ...frame, kind: 'step', activations: [embed(frame.token ?? '')] })
  }

  function compute (sequence: Sequence, frame: LinkFrame): void {
    sequence.queued += 1
    device.schedule(frame.activations.length, () => {
      sequence.queued -= 1
      if (table.get(frame.request) !== sequence || sequence.hold !== undefined) return
      if (frame.position !== sequence.nextPosition) return
      const from = frame.position - frame.activations.length + 1
      const outputs = frame.activations.map((activation, index) => runPosition(sequence, from + index, activation))
      sequence.nextPosition = frame.position + 1
      forward(sequence, { ...frame, activations: outputs.slice(Math.max(0, sequence.passFrom - from)) })
    })
  }

  /** Runs the layers for one position; positions before the attempt's first only rebuild KV cache. */
  function runPosition (sequence: Sequence, position: number, activation: number): number {
    const { request, attempt, fromLayer, toLayer } = sequence
    const mode = position < sequence.firstPosition ? 'rebuild' : 'run'
    record({ request, attempt, position, fromLayer, toLayer, mode })
    const kv = position === 0 ? 0 : sequence.kv[position - 1] ?? 0
    sequence.kv[position] ??= extendKv(kv, activation)
    return runLayers(activation, kv, fromLayer, toLayer)
  }

  function record (row: LedgerRow): void {
    ledger.push(row)
    if (ledger.length > MAX_LEDGER_ROWS) ledger.splice(0, MAX_LEDGER_ROWS / 2)
    options.onRow?.(row)
  }

  /** Sends the output to the next stage; the last stage sends the token to the caller and back to the first stage. */
  function forward (sequence: Sequence, frame: LinkFrame): void {
    const { request, attempt, position } = frame
    if (sequence.next !== undefined) return send(sequence.next, frame)
    const token = decodeToken(frame.activations.at(-1)!)
    const last = position + 1 >= sequence.maxTokens
    if (sequence.fromLayer > 0) sequence.tokens.push(token)
    sendToken(sequence, { attempt, position, token, ...(last ? { last } : {}) })
    if (!last) return send(sequence.first, { kind: 'feedback', request, attempt, position: position + 1, activations: [], token })
    if (sequence.fromLayer === 0) sequence.tokens.push(token)
    else table.end(sequence)
    send(sequence.first, { kind: 'finish', request, attempt, position, activations: [] })
  }

  function finish (sequence: Sequence): void {
    table.end(sequence)
    endStream(sequence)
    const { request, attempt, nextPosition, next } = sequence
    if (next !== undefined) send(next, { kind: 'finish', request, attempt, position: nextPosition, activations: [] })
  }

  /** Reserves link time for a number of activations; returns the milliseconds until they have been transferred. */
  function reserveLinkMs (activations: number): number {
    if (options.linkTokensPerS === undefined) return 0
    const nowMs = runtime.monotonicMs()
    linkFreeAtMs = Math.max(linkFreeAtMs, nowMs) + activations * 1_000 / options.linkTokensPerS
    return linkFreeAtMs - nowMs
  }

  function send (address: string, frame: LinkFrame): void {
    if (faults.linkCut) return
    const delayMs = faults.linkDelayMs + reserveLinkMs(frame.activations.length)
    if (delayMs === 0) sendLink(address, frame)
    else runtime.setTimer(delayMs, () => sendLink(address, frame))
  }

  return {
    faults: new Proxy(faults, {
      set (state, field, value) {
        Reflect.set(state, field, value)
        if (field === 'frozen' && value === false) device.resume()
        return true
      }
    }),
    status: () => ({ target, ...loaded, fencing, sequences: table.count(), leaving: faults.leaving }),
    order (order) {
      if (faults.checksFencing && order.fencing < fencing) return { kind: 'refused', status: 409, cause: `fencing number ${fencing} was seen` }
      fencing = Math.max(fencing, order.fencing)
      loaded = { model: order.model, version: order.version, fromLayer: order.fromLayer, toLayer: order.toLayer }
      return { kind: 'accepted' }
    },
    open,
    receive,
    cancel: table.cancel,
    holdSequence: table.holdSequence,
    held: table.held,
    ledger: request => request === undefined ? ledger : ledger.filter(row => row.request === request),
    [Symbol.dispose]: () => table[Symbol.dispose]()
  }
}
