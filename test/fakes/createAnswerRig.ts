/**
 * A model of four stages with a spare engine for each, and answers that run through them.
 */
import { buildTestConfiguration } from './buildTestConfiguration.js'
import { createManualRuntime, type ManualRuntime } from './createManualRuntime.js'
import { createMemoryEngines, type MemoryEngines } from './createMemoryEngines.js'
import { createTestLog } from './createTestLog.js'
import type { Configuration } from '../../src/configuration/types.js'
import type { EngineClient, TokenFrame } from '../../src/engine/types.js'
import type { EventLog } from '../../src/event/types.js'
import { createLinkFaults } from '../../src/pipeline/createLinkFaults/index.js'
import { findSequence } from '../../src/pipeline/findSequence/index.js'
import { runPipeline, type RunPipelineOptions } from '../../src/pipeline/runPipeline/index.js'
import { sequenceName, type AnswerRequest, type AnswerResult, type OpenChain } from '../../src/pipeline/types.js'
import { createSubject } from '../../src/stream/createSubject/index.js'
import type { TargetCondition, TargetDirectory } from '../../src/target/types.js'
import { checkLedger, type DeliveredToken } from '../../standin/engine/checkLedger/index.js'
import { computeExpectedAnswer } from '../../standin/engine/model.js'

/** First layer of each stage, and the number of layers. */
export const BOUNDARIES = [0, 2, 4, 6, 8]

/** Names of the engines that are picked while they are usable. */
export const CHOSEN = ['a', 'b', 'c', 'd']

/** One answer under way. */
export interface RunningAnswer {
  request: AnswerRequest
  frames: TokenFrame[]
  result: Promise<AnswerResult>
  /** Result once settled. */
  settled: () => AnswerResult | undefined
  leave: () => void
  /** Ends the entry that serves the answer, without a word to the engines. */
  kill: () => void
  /** Latest chain that opened. */
  chain: () => OpenChain | undefined
}

/** The rig. */
export interface AnswerRig {
  runtime: ManualRuntime
  engines: MemoryEngines
  log: EventLog
  conditions: Map<string, TargetCondition>
  configure: (configuration: Configuration) => void
  start: (request?: Partial<AnswerRequest>, more?: Pick<RunPipelineOptions, 'isHandedOver'>) => RunningAnswer
  /** Moves time on until a number of tokens was given. */
  until: (answer: RunningAnswer, tokens: number) => Promise<void>
  /** Moves time on until the answer has ended. */
  end: (answer: RunningAnswer) => Promise<AnswerResult>
  /** Goes on with an answer at another entry, as its caller has it. */
  takeOver: (answer: RunningAnswer, options: { givenTokens: number, account?: string }) => Promise<RunningAnswer | undefined>
  /** Faults of an answer's tokens and ledger; none when every token is right and ran once. */
  faultsOf: (answer: RunningAnswer) => string[]
}

/** A rig whose engines a, b, c, d are picked first, with spares a2, b2, c2, d2. */
export function createAnswerRig (options: { spares?: string[], stepMs?: number } = {}): AnswerRig {
  const { spares = CHOSEN, stepMs = 1 } = options
  const runtime = createManualRuntime()
  const engines = createMemoryEngines({ runtime })
  const log = createTestLog()
  const conditions = new Map<string, TargetCondition>()
  const names = [...CHOSEN, ...spares.map(name => `${name}2`)]
  const placement = names.map(target => {
    const stage = CHOSEN.indexOf(target[0]!)
    const part = { target, fromLayer: BOUNDARIES[stage]!, toLayer: BOUNDARIES[stage + 1]! }
    engines.add({ ...part, stepMs })
    return part
  })
  let configuration = buildTestConfiguration({ layers: BOUNDARIES.at(-1)!, placement })
  const directory: TargetDirectory = {
    address: target => target,
    condition: target => conditions.get(target) ?? 'usable',
    markLeaving: target => { conditions.set(target, 'leaving') },
    markSuspected: target => { conditions.set(target, 'suspected') },
    markReachable: target => { conditions.delete(target) },
    applyNotices: () => {},
    noticesAfter: () => [],
    changes: createSubject<string>().stream
  }
  const linkFaults = createLinkFaults({ runtime })
  let started = 0

  function start (request: Partial<AnswerRequest> = {}, more: Pick<RunPipelineOptions, 'isHandedOver'> = {}): RunningAnswer {
    started += 1
    const whole: AnswerRequest = {
      request: `request-${started}`, account: 'studio', model: 'draft', prompt: `prompt ${started}`, maxTokens: 12, priority: 5, deadlineMs: 60_000, given: [], earlierAttempt: 0, ...request
    }
    const controller = new AbortController()
    const frames: TokenFrame[] = []
    let settled: AnswerResult | undefined
    let chain: OpenChain | undefined
    const { client, kill } = createMortalClient(engines)
    const result = runPipeline(whole, {
      configuration: () => configuration, engines: client, directory, linkFaults, pick: candidates => candidates[0]!, runtime, log, signal: controller.signal, onToken: frame => { frames.push(frame) }, onChain: open => { chain = open }, ...more
    })
    result.then(value => { settled = value }, () => {})
    return { request: whole, frames, result, settled: () => settled, chain: () => chain, leave: () => controller.abort(), kill }
  }

  async function until (answer: RunningAnswer, tokens: number): Promise<void> {
    while (answer.frames.length < tokens && answer.settled() === undefined) await runtime.advance(1)
  }

  return {
    runtime,
    engines,
    log,
    conditions,
    configure: next => { configuration = next },
    start,
    until,
    async end (answer) {
      await until(answer, Infinity)
      await runtime.settle()
      return await answer.result
    },
    async takeOver ({ request }, { givenTokens, account = request.account }) {
      const found = await findSequence(configuration.models.get('draft')!, {
        sequence: sequenceName({ ...request, account }), givenTokens, engines: engines.client, directory, timeoutMs: 100
      })
      if (found.kind === 'unknown') return undefined
      const { attempt, ...rest } = found
      return start({ ...request, ...rest, earlierAttempt: attempt })
    },
    faultsOf ({ request, frames }) {
      const { prompt, maxTokens, given } = request
      const tokens = [...given, ...frames.map(frame => frame.token)]
      const wrong = computeExpectedAnswer(prompt, maxTokens, BOUNDARIES).flatMap((token, position) => token === tokens[position] ? [] : [`token ${position}`])
      const order = frames.flatMap((frame, index) => frame.position === given.length + index ? [] : [`position ${frame.position}`])
      const tokensGiven: DeliveredToken[] = frames.map(({ attempt, position }) => ({ sequence: sequenceName(request), attempt, position }))
      return [...wrong, ...order, ...checkLedger(engines.rows(), tokensGiven, { layers: BOUNDARIES.at(-1)! })]
    }
  }
}

/** A client of an entry that can die: afterwards its calls never end. */
function createMortalClient ({ client, killCaller }: MemoryEngines): { client: EngineClient, kill: () => void } {
  let isDead = false
  const never = new Promise<never>(() => {})
  const unlessDead = <A extends unknown[], B>(call: (...args: A) => Promise<B>) => (...args: A): Promise<B> => isDead ? never : call(...args)
  return {
    client: { ...client, open: unlessDead(client.open), held: unlessDead(client.held), cancel: unlessDead(client.cancel) },
    kill () {
      isDead = true
      killCaller()
    }
  }
}
