/**
 * A test rig for pipelines: a model of four stages with a spare engine for each, and the answers
 * that run through them.
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

/** First layer of each stage, then the number of layers. */
export const STAGE_BOUNDARIES = [0, 2, 4, 6, 8]

/** Engines that are picked as long as they are usable, one for each stage. */
export const PREFERRED_ENGINES = ['a', 'b', 'c', 'd']

/** One answer that is running or has ended. */
export interface RunningAnswer {
  request: AnswerRequest
  /** Frames that the caller got. */
  frames: TokenFrame[]
  result: Promise<AnswerResult>
  /** The result, or undefined while the answer runs. */
  settled: () => AnswerResult | undefined
  /** Aborts the answer as its caller does by closing the connection. */
  disconnectCaller: () => void
  /** Ends the entry that serves the answer: its connections close and it cancels nothing. */
  kill: () => void
  /** The latest chain of stages that was opened. */
  chain: () => OpenChain | undefined
}

/** The engines, the configuration and the answers of one test. */
export interface AnswerRig {
  runtime: ManualRuntime
  engines: MemoryEngines
  log: EventLog
  /** Conditions of targets; those without one are usable. */
  conditions: Map<string, TargetCondition>
  /** Replaces the configuration in force. */
  configure: (configuration: Configuration) => void
  /** Starts an answer; fields of the request that are not given get defaults. */
  start: (request?: Partial<AnswerRequest>, more?: Pick<RunPipelineOptions, 'isHandedOver'>) => RunningAnswer
  /** Advances time until the caller got this number of tokens or the answer ended. */
  advanceUntilTokens: (answer: RunningAnswer, tokens: number) => Promise<void>
  /** Advances time until the answer has ended. */
  runToEnd: (answer: RunningAnswer) => Promise<AnswerResult>
  /** Resumes an answer at another entry after `givenTokens` tokens; undefined if no engine knows its sequence. */
  takeOver: (answer: RunningAnswer, options: { givenTokens: number, account?: string }) => Promise<RunningAnswer | undefined>
  /** Faults of an answer's tokens and of the ledgers; empty if every token is right and every layer computed it once. */
  findFaults: (answer: RunningAnswer) => string[]
}

/** Creates a rig whose engines a, b, c and d are preferred, with spares a2, b2, c2 and d2. */
export function createAnswerRig (options: { spares?: string[], stepMs?: number } = {}): AnswerRig {
  const { spares = PREFERRED_ENGINES, stepMs = 1 } = options
  const runtime = createManualRuntime()
  const engines = createMemoryEngines({ runtime })
  const log = createTestLog()
  const conditions = new Map<string, TargetCondition>()
  const names = [...PREFERRED_ENGINES, ...spares.map(name => `${name}2`)]
  const placement = names.map(target => {
    const stage = PREFERRED_ENGINES.indexOf(target[0]!)
    const stagePlacement = { target, fromLayer: STAGE_BOUNDARIES[stage]!, toLayer: STAGE_BOUNDARIES[stage + 1]! }
    engines.add({ ...stagePlacement, stepMs })
    return stagePlacement
  })
  let configuration = buildTestConfiguration({ layers: STAGE_BOUNDARIES.at(-1)!, placement })
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
    const fullRequest: AnswerRequest = {
      request: `request-${started}`, account: 'studio', model: 'draft', prompt: `prompt ${started}`, maxTokens: 12, priority: 5, deadlineMs: 60_000, given: [], earlierAttempt: 0, ...request
    }
    const controller = new AbortController()
    const frames: TokenFrame[] = []
    let settled: AnswerResult | undefined
    let chain: OpenChain | undefined
    const { client, kill } = createKillableClient(engines)
    const result = runPipeline(fullRequest, {
      configuration: () => configuration, engines: client, directory, linkFaults, pick: candidates => candidates[0]!, runtime, log, signal: controller.signal, onToken: frame => { frames.push(frame) }, onChain: open => { chain = open }, ...more
    })
    result.then(value => { settled = value }, () => {})
    return { request: fullRequest, frames, result, settled: () => settled, chain: () => chain, disconnectCaller: () => controller.abort(), kill }
  }

  async function advanceUntilTokens (answer: RunningAnswer, tokens: number): Promise<void> {
    while (answer.frames.length < tokens && answer.settled() === undefined) await runtime.advance(1)
  }

  return {
    runtime,
    engines,
    log,
    conditions,
    configure: next => { configuration = next },
    start,
    advanceUntilTokens,
    async runToEnd (answer) {
      await advanceUntilTokens(answer, Infinity)
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
    findFaults ({ request, frames }) {
      const { prompt, maxTokens, given } = request
      const tokens = [...given, ...frames.map(frame => frame.token)]
      const wrong = computeExpectedAnswer(prompt, maxTokens, STAGE_BOUNDARIES).flatMap((token, position) => token === tokens[position] ? [] : [`token ${position}`])
      const order = frames.flatMap((frame, index) => frame.position === given.length + index ? [] : [`position ${frame.position}`])
      const tokensGiven: DeliveredToken[] = frames.map(({ attempt, position }) => ({ sequence: sequenceName(request), attempt, position }))
      return [...wrong, ...order, ...checkLedger(engines.rows(), tokensGiven, { layers: STAGE_BOUNDARIES.at(-1)! })]
    }
  }
}

/** A client of an entry that can be killed; after that none of its calls settles. */
function createKillableClient ({ client, dropConnections }: MemoryEngines): { client: EngineClient, kill: () => void } {
  let isKilled = false
  const never = new Promise<never>(() => {})
  const unlessKilled = <A extends unknown[], B>(call: (...args: A) => Promise<B>) => (...args: A): Promise<B> => isKilled ? never : call(...args)
  return {
    client: { ...client, open: unlessKilled(client.open), held: unlessKilled(client.held), cancel: unlessKilled(client.cancel) },
    kill () {
      isKilled = true
      dropConnections()
    }
  }
}
