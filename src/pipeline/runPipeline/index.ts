/**
 * One answer, from the first attempt to its end: choose a chain, open it, read its tokens, and
 * on the loss of a stage go on with the next attempt at the next position.
 */
import type { Configuration } from '../../configuration/types.js'
import type { EngineClient, TokenFrame } from '../../engine/types.js'
import type { EventLog } from '../../event/types.js'
import type { Runtime } from '../../runtime/types.js'
import type { TargetDirectory } from '../../target/types.js'
import { NEVER_SENT } from '../../verdict/createRefusal/index.js'
import type { ReasonName } from '../../verdict/reasons.js'
import type { Verdict } from '../../verdict/types.js'
import { chooseChain } from '../chooseChain/index.js'
import { openChain } from '../openChain/index.js'
import type { AnswerRequest, AnswerResult, Chain, OpenChain, PickStage } from '../types.js'
import { readTokens, type ReadEnd } from '../_lib/readTokens.js'

/** Attempts at one answer before it is given up. */
const MAX_ATTEMPTS = 6

/** When a caller whose request met no pipeline should come back. */
const NO_PIPELINE_RETRY_MS = 1_000

/** What an answer works with. */
export interface RunPipelineOptions {
  configuration: Configuration
  engines: EngineClient
  directory: TargetDirectory
  pick: PickStage
  runtime: Runtime
  log: EventLog
  /** Aborts when the caller goes away. */
  signal: AbortSignal
  /** Called once for each position, in order. */
  onToken: (frame: TokenFrame) => void
  /** Called with each chain that opens, so that a slow caller can pause it. */
  onChain?: (chain: OpenChain) => void
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
  const { configuration, directory, pick, runtime, log, signal } = options
  const model = configuration.models.get(request.model)
  if (model === undefined) return giveUp('unknownModel', NEVER_SENT, request.given.length, { model: request.model })
  const given = [...request.given]
  const excluded = new Set<string>()
  const deadlineAtMs = runtime.monotonicMs() + request.deadlineMs
  let kept: ReadonlySet<string> = new Set()
  let verdict: Verdict = NEVER_SENT
  let facts: Record<string, unknown> = {}

  for (let number = 1; number <= MAX_ATTEMPTS; number++) {
    const attempt = request.earlierAttempt + number
    if (runtime.monotonicMs() >= deadlineAtMs) return giveUp('deadlinePassed', verdict, given.length, facts)
    const isUsable = (target: string): boolean => !excluded.has(target) && directory.condition(target) === 'usable'
    const chain = chooseChain(model, { isUsable, pick })
    if (chain === undefined) return giveUp('noPipeline', verdict, given.length, { ...facts, excluded: [...excluded] }, NO_PIPELINE_RETRY_MS)
    const opened = await openChain(chain, request, { attempt, given, keptTargets: kept }, {
      engines: options.engines,
      address: directory.address,
      connectTimeoutMs: configuration.timeouts.connectMs,
      signal
    })
    if (signal.aborted) return giveUp('callerGone', verdict, given.length, facts)
    if (opened.kind === 'failed') {
      if (opened.verdict.kind === 'mayHaveRun') verdict = opened.verdict
      facts = { target: opened.target, cause: opened.cause }
      exclude(opened.target)
      continue
    }
    verdict = { kind: 'mayHaveRun' }
    await using open = opened.chain
    options.onChain?.(open)
    log.emit('pipelineOpened', { request: request.request, attempt, chain: describeChain(chain), firstPosition: given.length })
    const end = await readTokens(open, {
      firstPosition: given.length,
      firstTokenMs: model.deadlines.firstTokenMs,
      betweenTokensMs: model.deadlines.betweenTokensMs,
      runtime,
      signal,
      onToken (frame) {
        given.push(frame.token)
        options.onToken(frame)
      }
    })
    if (end.kind === 'complete') return { kind: 'complete', tokens: given.length, attempts: number }
    if (end.kind === 'aborted') return giveUp('callerGone', verdict, given.length, facts)
    facts = { ...end }
    const blamed = await findLostTargets(chain, end, options)
    log.emit('pipelineLost', { request: request.request, attempt, position: given.length, ...facts, blamed })
    blamed.forEach(exclude)
    kept = new Set(chain.map(part => part.target).filter(target => !blamed.includes(target)))
  }
  return giveUp('targetFailed', verdict, given.length, facts)

  function exclude (target: string): void {
    excluded.add(target)
    directory.noteSuspected(target)
  }
}

function giveUp (reason: ReasonName, verdict: Verdict, tokens: number, facts: Record<string, unknown>, retryAfterMs?: number): AnswerResult {
  return { kind: 'failed', reason, verdict, tokens, facts, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }
}

function describeChain (chain: Chain): string[] {
  return chain.map(part => `${part.target}[${part.fromLayer},${part.toLayer})`)
}

/** Which targets of a lost chain do not answer on a fresh connection. */
async function findLostTargets (chain: Chain, end: ReadEnd, options: RunPipelineOptions): Promise<string[]> {
  const timeoutMs = options.configuration.timeouts.connectMs
  const answers = await Promise.all(chain.map(async ({ target }) => {
    const address = options.directory.address(target)
    if (address === undefined) return { target, lost: true }
    const probe = await options.engines.status({ target, address }, { timeoutMs, fresh: true })
    return { target, lost: probe.kind === 'unreachable' }
  }))
  const lost = answers.filter(answer => answer.lost).map(answer => answer.target)
  if (lost.length > 0) return lost
  return end.kind === 'lost' ? [end.target] : []
}
