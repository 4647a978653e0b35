/**
 * An engine client for stand-in engines in this process, with faults of the network between them.
 */
import type { EngineClient, EngineEndpoint, OpenResult, OpenSequence, OpenStage, TokenFrame } from '../../src/engine/types.js'
import type { Runtime } from '../../src/runtime/types.js'
import { sleep } from '../../src/runtime/sleep/index.js'
import { createSubject, type Subject } from '../../src/stream/createSubject/index.js'
import { createEngine, type Engine } from '../../standin/engine/createEngine/index.js'
import type { LedgerRow } from '../../standin/engine/types.js'

/** One engine, its open streams and the faults that a test can cause. */
export interface MemoryEngine extends Engine {
  /** Ends the engine's process: open streams fail and new requests are refused. */
  kill: () => void
  /** Open streams deliver nothing more and stay open; new ones work. */
  silence: () => void
  /** Requests to open a sequence get no answer on a kept-alive connection; they do on a new one. */
  silenceKeptConnections: () => void
  /** Requests to open a sequence that reached this engine, in order. */
  opens: OpenSequence[]
  /** Sends a frame on every open stream as if the engine had sent it. */
  inject: (frame: TokenFrame) => void
}

/** All engines, and the client that reaches them by name. */
export interface MemoryEngines {
  client: EngineClient
  /** Closes the connections of every open sequence, as when their entry dies: nothing is cancelled. */
  dropConnections: () => void
  get: (target: string) => MemoryEngine
  /** Adds an engine that holds a range of layers; each of its steps takes at least `stepMs`. */
  add: (options: { target: string, fromLayer: number, toLayer: number, stepMs?: number }) => MemoryEngine
  /** Rows of the ledgers of all engines, dead ones included. */
  rows: () => LedgerRow[]
  /** Number of sequences on all live engines. */
  sequences: () => number
}

/** Frames of one open sequence on their way to its caller. */
interface OpenStream {
  subject: Subject<TokenFrame>
  isSilent: boolean
}

/** An empty set of engines of one model. */
export function createMemoryEngines ({ runtime, model = 'draft' }: { runtime: Runtime, model?: string }): MemoryEngines {
  const engines = new Map<string, MemoryEngine & { isDead: boolean, hasSilentKeptConnections: boolean, streams: Map<string, OpenStream> }>()

  const findLive = (target: string): ReturnType<typeof engines.get> => {
    const engine = engines.get(target)
    return engine === undefined || engine.isDead ? undefined : engine
  }

  function add (options: { target: string, fromLayer: number, toLayer: number, stepMs?: number }): MemoryEngine {
    const streams = new Map<string, OpenStream>()
    const emit = (key: string, run: (subject: Subject<TokenFrame>) => void): void => {
      const stream = streams.get(key)
      if (stream !== undefined && !stream.isSilent) run(stream.subject)
    }
    const engine = createEngine({
      model,
      version: '1',
      tokensPerS: 1_000,
      stepMs: 1,
      ...options,
      runtime,
      sendLink: (address, frame) => {
        const next = findLive(address)
        if (!memoryEngine.isDead && next !== undefined && !next.faults.frozen) next.receive(frame)
      },
      sendToken: (sequence, frame) => {
        if (memoryEngine.isDead) return
        emit(`${sequence.request}:${sequence.attempt}`, subject => {
          subject.next(frame)
          if (frame.last) subject.complete()
        })
      },
      endStream: sequence => emit(`${sequence.request}:${sequence.attempt}`, subject => subject.complete())
    })
    const memoryEngine = {
      ...engine,
      streams,
      isDead: false,
      hasSilentKeptConnections: false,
      opens: [] as OpenSequence[],
      kill () {
        memoryEngine.isDead = true
        for (const { subject } of streams.values()) subject.fail(new Error('reset'))
        engine[Symbol.dispose]()
      },
      silence: () => { for (const stream of streams.values()) stream.isSilent = true },
      silenceKeptConnections: () => { memoryEngine.hasSilentKeptConnections = true },
      inject: (frame: TokenFrame) => { for (const { subject } of streams.values()) subject.next(frame) }
    }
    engines.set(options.target, memoryEngine)
    return memoryEngine
  }

  function createStage (target: string, sequence: OpenSequence, subject: Subject<TokenFrame>): OpenStage {
    const { request, attempt } = sequence
    let settled = false
    let paused = false
    const detach = (): void => {
      settled = true
      if (engines.get(target)!.streams.delete(`${request}:${attempt}`)) findLive(target)?.holdSequence(request, attempt)
    }
    return {
      target,
      frames: subject.stream,
      pause: () => { paused = true },
      resume: () => { paused = false },
      isPaused: () => paused,
      detach,
      finish: () => { settled = true },
      async [Symbol.asyncDispose] () {
        if (settled) return
        detach()
        findLive(target)?.cancel(request, attempt)
      }
    }
  }

  async function open ({ target }: EngineEndpoint, sequence: OpenSequence, options: Parameters<EngineClient['open']>[2]): Promise<OpenResult> {
    const engine = findLive(target)
    if (engine === undefined) return { kind: 'unreachable', cause: 'ECONNREFUSED' }
    engine.opens.push(sequence)
    if (engine.faults.frozen || (engine.hasSilentKeptConnections && !options.useNewConnection)) {
      await sleep(options.connectTimeoutMs, { runtime, signal: options.signal })
      return { kind: 'lost', cause: 'no answer to the open' }
    }
    const answer = engine.open(sequence)
    if (answer.kind === 'refused') return answer
    const subject = createSubject<TokenFrame>()
    engine.streams.set(`${sequence.request}:${sequence.attempt}`, { subject, isSilent: false })
    return { kind: 'open', stage: createStage(target, sequence, subject) }
  }

  const client: EngineClient = {
    open,
    async held ({ target }, request, { timeoutMs }) {
      const engine = findLive(target)
      if (engine?.faults.frozen) await sleep(timeoutMs, { runtime })
      if (engine === undefined || engine.faults.frozen) return { kind: 'unreachable', cause: 'no answer' }
      const held = engine.held(request)
      return held === undefined ? { kind: 'unknown' } : { kind: 'known', held: { ...held, tokens: [...held.tokens] } }
    },
    async cancel ({ target }, request, attempt) {
      const engine = findLive(target)
      if (engine?.faults.frozen === false) engine.cancel(request, attempt)
    },
    async status ({ target }) {
      const engine = findLive(target)
      return engine === undefined ? { kind: 'unreachable', cause: 'ECONNREFUSED' } : { kind: 'status', status: engine.status() }
    },
    async order () { return { kind: 'accepted' } },
    async [Symbol.asyncDispose] () {}
  }
  const live = (): Array<MemoryEngine & { isDead: boolean }> => [...engines.values()].filter(engine => !engine.isDead)
  return {
    client,
    dropConnections () {
      for (const { streams, holdSequence } of engines.values()) {
        for (const key of streams.keys()) holdSequence(key.slice(0, key.lastIndexOf(':')), Number(key.slice(key.lastIndexOf(':') + 1)))
        streams.clear()
      }
    },
    get: target => engines.get(target)!,
    add,
    rows: () => [...engines.values()].flatMap(engine => engine.ledger()),
    sequences: () => live().reduce((count, engine) => count + engine.status().sequences, 0)
  }
}
