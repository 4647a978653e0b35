/**
 * A stand-in engine without its network: sequences, KV state, fences, ledger and pace.
 */
import type { EngineOrder, EngineStatus, OpenSequence } from '../../../src/engine/types.js'
import { embed, extendKv, readToken, runLayers } from '../model.js'
import type { EngineFaults, LedgerRow, LinkFrame, Sequence } from '../types.js'

/** Rows that a ledger keeps. */
const LEDGER_ROWS = 500_000

/** How an engine reaches others and how fast it is. */
export interface EngineOptions {
  target: string
  model: string | null
  version: string | null
  fromLayer: number
  toLayer: number
  /** Positions a second through all its layers. */
  tokensPerS: number
  /** Least time of one step, in milliseconds. */
  stepMs: number
  /** Sends a frame to another stage. */
  sendLink: (address: string, frame: LinkFrame) => void
  /** Streams a token to the caller of the last stage; ends the stream after the last one. */
  sendToken: (sequence: Sequence, frame: { attempt: number, position: number, token: string, last?: boolean }) => void
  /** Ends the stream of a stage whose sequence is finished. */
  endStage: (sequence: Sequence) => void
}

/** Result of an open or an order. */
export type EngineAnswer = { kind: 'accepted' } | { kind: 'refused', status: number, cause: string }

/** One engine. */
export interface Engine {
  faults: EngineFaults
  status: () => EngineStatus
  order: (order: EngineOrder) => EngineAnswer
  open: (sequence: OpenSequence) => EngineAnswer
  /** Takes a frame of another stage. */
  receive: (frame: LinkFrame) => void
  cancel: (request: string, attempt: number) => void
  ledger: (request?: string) => LedgerRow[]
}

/**
 * @name createEngine
 * @summary An engine that serves one range of layers.
 * @param options - Range, pace and ways out.
 * @returns The engine.
 *
 * @example
 * const engine = createEngine({ target: 'engine-1', model: 'draft', fromLayer: 0, toLayer: 8, ...rest })
 */
export function createEngine (options: EngineOptions): Engine {
  const { target, tokensPerS, stepMs, sendLink, sendToken, endStage } = options
  const faults: EngineFaults = { frozen: false, silenceOpen: false, linkDelayMs: 0, linkCut: false, leaving: false, checksFencing: true }
  const sequences = new Map<string, Sequence>()
  const early = new Map<string, LinkFrame[]>()
  const ledger: LedgerRow[] = []
  const msPerToken = 1_000 / tokensPerS
  let held = { model: options.model, version: options.version, fromLayer: options.fromLayer, toLayer: options.toLayer }
  let fencing = 0
  let busyUntilMs = 0
  let frozenWork: Array<() => void> = []

  /** Runs work when the engine has had the time for it. */
  function schedule (positions: number, work: () => void): void {
    const nowMs = performance.now()
    busyUntilMs = Math.max(busyUntilMs, nowMs) + positions * msPerToken
    const delayMs = Math.max(busyUntilMs - nowMs, stepMs)
    setTimeout(() => faults.frozen ? frozenWork.push(work) : work(), delayMs)
  }

  function thaw (): void {
    const work = frozenWork
    frozenWork = []
    for (const item of work) item()
  }

  function open (sequence: OpenSequence): EngineAnswer {
    if (faults.leaving && !sequences.has(sequence.request)) return { kind: 'refused', status: 503, cause: 'leaving' }
    const holds = held.model === sequence.model && held.fromLayer === sequence.fromLayer && held.toLayer === sequence.toLayer
    if (!holds) return { kind: 'refused', status: 409, cause: 'these layers are not held here' }
    const before = sequences.get(sequence.request)
    if (before !== undefined && before.attempt >= sequence.attempt) return { kind: 'refused', status: 409, cause: `attempt ${before.attempt} was seen` }
    const kept = before !== undefined && !sequence.rebuild ? before.kv.slice(0, sequence.firstPosition) : []
    if (!sequence.rebuild && sequence.firstPosition > 0 && kept.length < sequence.firstPosition) {
      return { kind: 'refused', status: 409, cause: 'the KV cache is not held here' }
    }
    const opened: Sequence = { ...sequence, nextPosition: sequence.firstPosition, kv: kept }
    sequences.set(sequence.request, opened)
    if (sequence.fromLayer === 0) start(opened)
    for (const frame of early.get(sequence.request) ?? []) receive(frame)
    early.delete(sequence.request)
    return { kind: 'accepted' }
  }

  /** Position 0 takes the prompt; each later one takes the token before it. */
  function start (sequence: Sequence): void {
    const activations = [sequence.prompt, ...sequence.given].map(embed)
    compute(sequence, { kind: 'prefill', request: sequence.request, attempt: sequence.attempt, position: sequence.firstPosition, activations })
  }

  function receive (frame: LinkFrame): void {
    const sequence = sequences.get(frame.request)
    if (sequence === undefined || sequence.attempt < frame.attempt) {
      early.set(frame.request, [...early.get(frame.request) ?? [], frame])
      return
    }
    if (sequence.attempt !== frame.attempt) return
    if (frame.kind === 'finish') return finish(sequence)
    if (frame.kind === 'feedback') {
      return compute(sequence, { ...frame, kind: 'step', activations: [embed(frame.token ?? '')] })
    }
    compute(sequence, frame)
  }

  function compute (sequence: Sequence, frame: LinkFrame): void {
    schedule(frame.activations.length, () => {
      if (sequences.get(frame.request) !== sequence || frame.position !== sequence.nextPosition) return
      const first = frame.position - frame.activations.length + 1
      const outputs = frame.activations.map((activation, index) => runPosition(sequence, first + index, activation))
      sequence.nextPosition = frame.position + 1
      passOn(sequence, { ...frame, activations: outputs })
    })
  }

  /** Runs one position; positions before the attempt's first are rebuilt and give no token. */
  function runPosition (sequence: Sequence, position: number, activation: number): number {
    const { request, attempt, fromLayer, toLayer } = sequence
    const mode = position < sequence.firstPosition ? 'rebuild' : 'run'
    ledger.push({ request, attempt, position, fromLayer, toLayer, mode })
    if (ledger.length > LEDGER_ROWS) ledger.splice(0, LEDGER_ROWS / 2)
    const kv = position === 0 ? 0 : sequence.kv[position - 1] ?? 0
    sequence.kv[position] = extendKv(kv, activation)
    return runLayers(activation, kv, fromLayer, toLayer)
  }

  function passOn (sequence: Sequence, frame: LinkFrame): void {
    const { request, attempt, position } = frame
    if (sequence.next !== undefined) return send(sequence.next, frame)
    const token = readToken(frame.activations.at(-1)!)
    const last = position + 1 >= sequence.maxTokens
    sendToken(sequence, { attempt, position, token, ...(last ? { last } : {}) })
    if (!last) return send(sequence.first, { kind: 'feedback', request, attempt, position: position + 1, activations: [], token })
    send(sequence.first, { kind: 'finish', request, attempt, position, activations: [] })
    if (sequence.fromLayer > 0) sequences.delete(request)
  }

  function finish (sequence: Sequence): void {
    sequences.delete(sequence.request)
    endStage(sequence)
    const { request, attempt, nextPosition, next } = sequence
    if (next !== undefined) send(next, { kind: 'finish', request, attempt, position: nextPosition, activations: [] })
  }

  function send (address: string, frame: LinkFrame): void {
    if (faults.linkCut) return
    if (faults.linkDelayMs === 0) sendLink(address, frame)
    else setTimeout(() => sendLink(address, frame), faults.linkDelayMs)
  }

  return {
    faults: new Proxy(faults, {
      set (on, field, value) {
        Reflect.set(on, field, value)
        if (field === 'frozen' && value === false) thaw()
        return true
      }
    }),
    status: () => ({ target, ...held, fencing, sequences: sequences.size, leaving: faults.leaving }),
    order (order) {
      if (faults.checksFencing && order.fencing < fencing) return { kind: 'refused', status: 409, cause: `fencing number ${fencing} was seen` }
      fencing = Math.max(fencing, order.fencing)
      held = { model: order.model, version: order.version, fromLayer: order.fromLayer, toLayer: order.toLayer }
      return { kind: 'accepted' }
    },
    open,
    receive,
    cancel (request, attempt) {
      if (sequences.get(request)?.attempt === attempt) sequences.delete(request)
      early.delete(request)
    },
    ledger: request => request === undefined ? ledger : ledger.filter(row => row.request === request)
  }
}
