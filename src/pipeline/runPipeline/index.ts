/**
 * Runs one answer from the first attempt to its end: chooses a chain, opens it and reads its tokens.
 * When a stage, a link or a connection is lost, the next attempt continues at the next position.
 */
import type { Configuration } from '../../configuration/types.js'
import type { EngineClient, TokenFrame } from '../../engine/types.js'
import type { EventLog } from '../../event/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import { withDeadline } from '../../runtime/withDeadline/index.js'
import type { TargetDirectory } from '../../target/types.js'
import type { ModelScope } from '../../ticket/types.js'
import type { ReasonName } from '../../verdict/reasons.js'
import { chooseChain } from '../chooseChain/index.js'
import { createLinkFaults, type LinkFaults } from '../createLinkFaults/index.js'
import { examineChain, type Examination, type Finding } from '../examineChain/index.js'
import { openChain } from '../openChain/index.js'
import { sequenceName, type AnswerRequest, type AnswerResult, type Chain, type OpenChain, type OpenChainResult, type OpenFailure, type PickStage } from '../types.js'
import { createAnswerState, type AnswerState } from '../_lib/answerState.js'
import { readTokens, type ReadOutcome } from '../_lib/readTokens.js'
import { applyFinding } from '../_lib/applyFinding.js'

/** Suggested wait before a retry, for a caller whose request found no pipeline or passed its deadline, in milliseconds. */
const RETRY_AFTER_MS = 1_000

/** Interval at which an answer that may have run, but has no chain left, tries to choose one again, in milliseconds. */
const CHAIN_RETRY_MS = 50

/** Dependencies and callbacks of one answer. */
export interface RunPipelineOptions {
  /** Returns the configuration in force; called again for each attempt. */
  configuration: () => Configuration
  engines: EngineClient
  directory: TargetDirectory
  pick: PickStage
  /** Lost links known to all answers of one entry; by default this answer keeps its own. */
  linkFaults?: LinkFaults
  runtime: Runtime
  log: EventLog
  /** Aborts when the caller goes away. */
  signal: AbortSignal
  /** Whether the sequence is kept on the engines for another entry when the caller goes away; otherwise it is cancelled. */
  isHandedOver?: () => boolean
  /** Called once for each position of the answer, in order. */
  onToken: (frame: TokenFrame) => void
  /** Called with each chain that opens, so that a slow caller can pause it. */
  onChain?: (chain: OpenChain) => void
}

/** Values shared by the steps of one answer. */
interface AnswerContext {
  request: AnswerRequest
  options: RunPipelineOptions
  state: AnswerState
  /** Aborts when the caller goes away or the deadline passes. */
  signal: AbortSignal
}

/**
 * @name runPipeline
 * @summary Answers one request through a pipeline.
 * @param request - The request.
 * @param options - Configuration, engines, target directory, stage choice and callbacks.
 * @returns How the answer ended; every token before that was passed to `onToken`.
 *
 * @example
 * const result = await runPipeline(request, { configuration, engines, directory, pick, runtime, log, signal, onToken })
 */
export async function runPipeline (request: AnswerRequest, options: RunPipelineOptions): Promise<AnswerResult> {
  const { runtime, directory, onToken, linkFaults = createLinkFaults({ runtime }) } = options
  using deadline = withDeadline(request.deadlineMs, { runtime, parent: options.signal })
  const state = createAnswerState(request, { directory, linkFaults, runtime, onToken })
  const context: AnswerContext = { request, options, state, signal: deadline.signal }
  const { computed = [], ended = false, earlierAttempt } = request
  deliverComputed({ computed, ended }, earlierAttempt, state)
  if (ended) return { kind: 'complete', tokens: state.given.length, attempts: 0 }
  let completedChain: Chain = []
  try {
    for (;;) {
      const result = await runAttempt(context)
      if (result === undefined) continue
      if (result.kind === 'complete') completedChain = result.chain
      return result.kind === 'complete' ? { kind: 'complete', tokens: state.given.length, attempts: state.attempts } : result
    }
  } finally {
    cancelUnusedTargets(completedChain, context)
  }
}

/** How the answer ended; nothing when another attempt is needed. */
type AttemptResult = Extract<AnswerResult, { kind: 'failed' }> | { kind: 'complete', chain: Chain } | undefined

async function runAttempt (context: AnswerContext): Promise<AttemptResult> {
  const { request, options, state, signal } = context
  const { directory, log, runtime } = options
  if (signal.aborted) return failAborted(context)
  const configuration = options.configuration()
  const model = configuration.models.get(request.model)
  if (model === undefined) return failAnswer('unknownModel', state, { model: request.model })
  const chain = chooseChain(model, { isUsable: state.isUsable, pick: state.preferCacheHolders(options.pick) })
  if (chain === undefined) {
    if (state.verdict.kind === 'notRun') return failAnswer('noPipeline', state, state.facts, RETRY_AFTER_MS)
    await sleep(CHAIN_RETRY_MS, { runtime, signal })
    return undefined
  }
  state.attempt += 1
  state.attempts += 1
  const { attempt, given, kept, reconnectTargets, contactedAddresses } = state
  const opened = await openChain(chain, request, { attempt, given, keptTargets: kept, reconnectTargets }, {
    engines: options.engines,
    address: directory.address,
    connectTimeoutMs: configuration.timeouts.connectMs,
    signal,
    onSent: (target, address) => { contactedAddresses.set(target, address) }
  })
  if (opened.kind === 'failed') return signal.aborted ? failAborted(context) : handleFailedOpen(opened, context)
  state.verdict = { kind: 'mayHaveRun' }
  log.emit('pipelineOpened', { request: request.request, attempt, chain: describeChain(chain), firstPosition: given.length })
  await using openedChain = opened.chain
  options.onChain?.(openedChain)
  return await readAttempt(openedChain, model, context)
}

async function readAttempt (openedChain: OpenChain, model: ModelScope, context: AnswerContext): Promise<AttemptResult> {
  const { request, options, state, signal } = context
  const { runtime } = options
  const firstPosition = state.given.length
  const examine = (): Promise<Examination> => examineChain(openedChain.chain, {
    sequence: sequenceName(request),
    attempt: openedChain.attempt,
    position: () => state.given.length,
    engines: options.engines,
    directory: options.directory,
    timeoutMs: options.configuration().timeouts.connectMs
  })
  const { firstTokenMs, betweenTokensMs } = model.deadlines
  const outcome = await readTokens(openedChain, { firstTokenMs, betweenTokensMs, examinesEarly: state.attempts > 1, runtime, signal, deliver: state.deliver, examine })
  if (outcome.kind === 'complete') return completeAttempt(openedChain)
  if (outcome.kind !== 'aborted') {
    const examination = outcome.kind === 'silent' ? outcome.examination : await examine()
    deliverComputed(examination, openedChain.attempt, state)
    if (examination.ended) return completeAttempt(openedChain)
    handleLostAttempt(openedChain, outcome, { finding: examination.finding, model, firstPosition, context })
  }
  for (const stage of openedChain.stages) stage.detach()
  return signal.aborted ? failAborted(context) : undefined
}

/** What is known about a failed attempt. */
interface LostAttempt {
  finding: Finding
  model: ModelScope
  firstPosition: number
  context: AnswerContext
}

function handleLostAttempt (openedChain: OpenChain, outcome: ReadOutcome, { finding, model, firstPosition, context }: LostAttempt): void {
  const { request, options: { log }, state } = context
  state.facts = describeLoss(outcome, finding)
  log.emit('pipelineLost', { request: request.request, attempt: openedChain.attempt, position: state.given.length, ...state.facts })
  applyFinding(state, finding, {
    chain: openedChain.chain,
    model,
    endedTarget: outcome.kind === 'lost' ? outcome.target : undefined,
    hasProgressed: state.given.length > firstPosition
  })
}

function completeAttempt (openedChain: OpenChain): AttemptResult {
  for (const stage of openedChain.stages) stage.finish()
  return { kind: 'complete', chain: openedChain.chain }
}

/** Delivers tokens that an engine computed and that did not arrive here. */
function deliverComputed ({ computed, ended }: Pick<Examination, 'computed' | 'ended'>, attempt: number, state: AnswerState): void {
  const firstPosition = state.given.length
  computed.forEach((token, index) => {
    const last = ended && index === computed.length - 1
    state.deliver({ attempt, position: firstPosition + index, token, ...(last ? { last } : {}) })
  })
}

function handleFailedOpen ({ failures, verdict }: Extract<OpenChainResult, { kind: 'failed' }>, context: AnswerContext): AttemptResult {
  const { state } = context
  state.facts = { failures: failures.map(({ target, cause }) => ({ target, cause })) }
  if (verdict.kind === 'mayHaveRun') state.verdict = verdict
  const supersededBy = Math.max(...failures.map(({ reason, attempt = 0 }) => reason === 'superseded' ? attempt : 0))
  if (supersededBy > 0 && state.attempts > 1) return failAnswer('targetFailed', state, { ...state.facts, supersededBy })
  state.attempt = Math.max(state.attempt, supersededBy)
  for (const failure of failures) handleOpenFailure(failure, context)
  return undefined
}

function handleOpenFailure ({ target, reason, isConnectionSuspect = false }: OpenFailure, { options, state }: AnswerContext): void {
  if (reason === 'superseded') return
  if (reason === 'cacheNotHeld') {
    state.kept.delete(target)
    return
  }
  if (reason === 'leaving') options.directory.markLeaving(target, 'engine')
  // The first missing response may be the fault of a kept-alive connection, so a new one is tried before the target is suspected.
  if (isConnectionSuspect && !state.reconnectTargets.has(target)) state.reconnectTargets.add(target)
  else if (reason === undefined) state.avoidAndSuspect(target)
  else state.avoid(target)
}

function failAborted ({ options, state }: AnswerContext): Extract<AnswerResult, { kind: 'failed' }> {
  if (options.signal.aborted) return failAnswer('callerGone', state, state.facts)
  return failAnswer('deadlinePassed', state, state.facts, RETRY_AFTER_MS)
}

function failAnswer (reason: ReasonName, state: AnswerState, facts: Record<string, unknown>, retryAfterMs?: number): Extract<AnswerResult, { kind: 'failed' }> {
  const { verdict, given } = state
  return { kind: 'failed', reason, verdict, tokens: given.length, facts, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }
}

/** Frees the sequence on all contacted targets outside the completed chain, without delaying the answer. */
function cancelUnusedTargets (completedChain: Chain, { request, options, state }: AnswerContext): void {
  if (options.signal.aborted && options.isHandedOver?.()) return
  const timeoutMs = options.configuration().timeouts.connectMs
  const completed = new Set(completedChain.map(stage => stage.target))
  for (const [target, address] of state.contactedAddresses) {
    if (completed.has(target)) continue
    options.engines.cancel({ target, address }, sequenceName(request), state.attempt, { timeoutMs }).catch(() => {})
  }
}

function describeChain (chain: Chain): string[] {
  return chain.map(stage => `${stage.target}[${stage.fromLayer},${stage.toLayer})`)
}

function describeLoss (outcome: ReadOutcome, finding: Finding): Record<string, unknown> {
  const { kind, ...details } = finding
  return { loss: outcome.kind, finding: kind, ...details, ...(outcome.kind === 'lost' ? { stage: outcome.target, cause: outcome.cause } : {}) }
}
