/**
 * One answer, from the first attempt to its end: choose a chain, open it, read its tokens, and
 * on the loss of a stage go on with the next attempt at the next position.
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
import { createProgress, type Progress } from '../_lib/progress.js'
import { readTokens, type ReadEnd } from '../_lib/readTokens.js'
import { takeFinding } from '../_lib/takeFinding.js'

/** When a caller whose request met no pipeline, or ran out of time, should come back. */
const RETRY_AFTER_MS = 1_000

/** Wait between looks for a chain while an answer that has begun has none, in milliseconds. */
const RECHOOSE_MS = 50

/** What an answer works with. */
export interface RunPipelineOptions {
  /** The configuration in force; read anew for each attempt. */
  configuration: () => Configuration
  engines: EngineClient
  directory: TargetDirectory
  pick: PickStage
  /** Shared by the answers of one entry; a memory of its own unless given. */
  linkFaults?: LinkFaults
  runtime: Runtime
  log: EventLog
  /** Aborts when the caller goes away. */
  signal: AbortSignal
  /** Whether an answer whose caller went away is left to another entry; it is cancelled otherwise. */
  isHandedOver?: () => boolean
  /** Called once for each position, in order. */
  onToken: (frame: TokenFrame) => void
  /** Called with each chain that opens, so that a slow caller can pause it. */
  onChain?: (chain: OpenChain) => void
}

/** What the steps of one answer share. */
interface Answering {
  request: AnswerRequest
  options: RunPipelineOptions
  progress: Progress
  /** Aborts when the caller goes away or the deadline passes. */
  signal: AbortSignal
}

/**
 * @name runPipeline
 * @summary Answers one request through a pipeline.
 * @param request - The request.
 * @param options - Configuration, engines, directory, choice and callbacks.
 * @returns How the answer ended; every token up to then was handed to `onToken`.
 *
 * @example
 * const result = await runPipeline(request, { configuration, engines, directory, pick, runtime, log, signal, onToken })
 */
export async function runPipeline (request: AnswerRequest, options: RunPipelineOptions): Promise<AnswerResult> {
  const { runtime, directory, onToken, linkFaults = createLinkFaults({ runtime }) } = options
  using deadline = withDeadline(request.deadlineMs, { runtime, parent: options.signal })
  const progress = createProgress(request, { directory, linkFaults, runtime, onToken })
  const answering: Answering = { request, options, progress, signal: deadline.signal }
  const { computed = [], ended = false, earlierAttempt } = request
  giveComputed({ computed, ended }, earlierAttempt, progress)
  if (ended) return { kind: 'complete', tokens: progress.given.length, attempts: 0 }
  let inUse: Chain = []
  try {
    for (;;) {
      const result = await attemptOnce(answering)
      if (result === undefined) continue
      if (result.kind === 'complete') inUse = result.chain
      return result.kind === 'complete' ? { kind: 'complete', tokens: progress.given.length, attempts: progress.attempts } : result
    }
  } finally {
    cancelOthers(inUse, answering)
  }
}

/** End of an answer; nothing when another attempt is due. */
type AttemptResult = Extract<AnswerResult, { kind: 'failed' }> | { kind: 'complete', chain: Chain } | undefined

async function attemptOnce (answering: Answering): Promise<AttemptResult> {
  const { request, options, progress, signal } = answering
  const { directory, log, runtime } = options
  if (signal.aborted) return giveUpAborted(answering)
  const configuration = options.configuration()
  const model = configuration.models.get(request.model)
  if (model === undefined) return giveUp('unknownModel', progress, { model: request.model })
  const chain = chooseChain(model, { isUsable: progress.isUsable, pick: progress.preferKept(options.pick) })
  if (chain === undefined) {
    if (progress.verdict.kind === 'notRun') return giveUp('noPipeline', progress, progress.facts, RETRY_AFTER_MS)
    await sleep(RECHOOSE_MS, { runtime, signal })
    return undefined
  }
  progress.attempt += 1
  progress.attempts += 1
  const { attempt, given, kept, fresh, touched } = progress
  const opened = await openChain(chain, request, { attempt, given, keptTargets: kept, freshTargets: fresh }, {
    engines: options.engines,
    address: directory.address,
    connectTimeoutMs: configuration.timeouts.connectMs,
    signal,
    onSent: (target, address) => { touched.set(target, address) }
  })
  if (opened.kind === 'failed') return signal.aborted ? giveUpAborted(answering) : takeFailedOpen(opened, answering)
  progress.verdict = { kind: 'mayHaveRun' }
  log.emit('pipelineOpened', { request: request.request, attempt, chain: describeChain(chain), firstPosition: given.length })
  await using open = opened.chain
  options.onChain?.(open)
  return await readAttempt(open, model, answering)
}

async function readAttempt (open: OpenChain, model: ModelScope, answering: Answering): Promise<AttemptResult> {
  const { request, options, progress, signal } = answering
  const { runtime } = options
  const firstPosition = progress.given.length
  const examine = (): Promise<Examination> => examineChain(open.chain, {
    sequence: sequenceName(request),
    attempt: open.attempt,
    position: () => progress.given.length,
    engines: options.engines,
    directory: options.directory,
    timeoutMs: options.configuration().timeouts.connectMs
  })
  const { firstTokenMs, betweenTokensMs } = model.deadlines
  const end = await readTokens(open, { firstTokenMs, betweenTokensMs, looksEarly: progress.attempts > 1, runtime, signal, give: progress.give, examine })
  if (end.kind === 'complete') return complete(open)
  if (end.kind !== 'aborted') {
    const examination = end.kind === 'silent' ? end.examination : await examine()
    giveComputed(examination, open.attempt, progress)
    if (examination.ended) return complete(open)
    leaveAttempt(open, end, { finding: examination.finding, model, firstPosition, answering })
  }
  for (const stage of open.stages) stage.detach()
  return signal.aborted ? giveUpAborted(answering) : undefined
}

/** What is known of a lost attempt. */
interface LostAttempt {
  finding: Finding
  model: ModelScope
  firstPosition: number
  answering: Answering
}

function leaveAttempt (open: OpenChain, end: ReadEnd, { finding, model, firstPosition, answering }: LostAttempt): void {
  const { request, options: { log }, progress } = answering
  progress.facts = describeLoss(end, finding)
  log.emit('pipelineLost', { request: request.request, attempt: open.attempt, position: progress.given.length, ...progress.facts })
  takeFinding(progress, finding, {
    chain: open.chain,
    model,
    endedTarget: end.kind === 'lost' ? end.target : undefined,
    hasProgressed: progress.given.length > firstPosition
  })
}

function complete (open: OpenChain): AttemptResult {
  for (const stage of open.stages) stage.finish()
  return { kind: 'complete', chain: open.chain }
}

/** Hands on tokens that an engine computed and that did not arrive. */
function giveComputed ({ computed, ended }: Pick<Examination, 'computed' | 'ended'>, attempt: number, progress: Progress): void {
  const first = progress.given.length
  computed.forEach((token, index) => {
    const last = ended && index === computed.length - 1
    progress.give({ attempt, position: first + index, token, ...(last ? { last } : {}) })
  })
}

function takeFailedOpen ({ failures, verdict }: Extract<OpenChainResult, { kind: 'failed' }>, answering: Answering): AttemptResult {
  const { progress } = answering
  progress.facts = { failures: failures.map(({ target, cause }) => ({ target, cause })) }
  if (verdict.kind === 'mayHaveRun') progress.verdict = verdict
  const seen = Math.max(...failures.map(({ reason, attempt = 0 }) => reason === 'superseded' ? attempt : 0))
  if (seen > 0 && progress.attempts > 1) return giveUp('targetFailed', progress, { ...progress.facts, supersededBy: seen })
  progress.attempt = Math.max(progress.attempt, seen)
  for (const failure of failures) takeFailure(failure, answering)
  return undefined
}

function takeFailure ({ target, reason, isConnectionSuspect = false }: OpenFailure, { options, progress }: Answering): void {
  if (reason === 'superseded') return
  if (reason === 'cacheNotHeld') {
    progress.kept.delete(target)
    return
  }
  if (reason === 'leaving') options.directory.markLeaving(target, 'engine')
  // A first loss without an answer may be the fault of a kept connection; a fresh one decides.
  if (isConnectionSuspect && !progress.fresh.has(target)) progress.fresh.add(target)
  else if (reason === undefined) progress.blame(target)
  else progress.avoid(target)
}

function giveUpAborted ({ options, progress }: Answering): Extract<AnswerResult, { kind: 'failed' }> {
  if (options.signal.aborted) return giveUp('callerGone', progress, progress.facts)
  return giveUp('deadlinePassed', progress, progress.facts, RETRY_AFTER_MS)
}

function giveUp (reason: ReasonName, progress: Progress, facts: Record<string, unknown>, retryAfterMs?: number): Extract<AnswerResult, { kind: 'failed' }> {
  const { verdict, given } = progress
  return { kind: 'failed', reason, verdict, tokens: given.length, facts, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }
}

/** Frees the sequence on all targets but those of the completed chain, without holding up the answer. */
function cancelOthers (inUse: Chain, { request, options, progress }: Answering): void {
  if (options.signal.aborted && options.isHandedOver?.()) return
  const timeoutMs = options.configuration().timeouts.connectMs
  const completed = new Set(inUse.map(part => part.target))
  for (const [target, address] of progress.touched) {
    if (completed.has(target)) continue
    options.engines.cancel({ target, address }, sequenceName(request), progress.attempt, { timeoutMs }).catch(() => {})
  }
}

function describeChain (chain: Chain): string[] {
  return chain.map(part => `${part.target}[${part.fromLayer},${part.toLayer})`)
}

function describeLoss (end: ReadEnd, finding: Finding): Record<string, unknown> {
  const { kind, ...details } = finding
  return { loss: end.kind, finding: kind, ...details, ...(end.kind === 'lost' ? { stage: end.target, cause: end.cause } : {}) }
}
