/**
 * Opening one attempt of a sequence on every stage of a chain. The first stage is opened last,
 * so that nothing runs before all others have accepted.
 */
import type { EngineClient, OpenResult, OpenStage } from '../../engine/types.js'
import { NEVER_SENT } from '../../verdict/createRefusal/index.js'
import type { Verdict } from '../../verdict/types.js'
import type { AnswerRequest, Chain, OpenChainResult } from '../types.js'

/** One attempt. */
export interface Attempt {
  attempt: number
  /** Tokens of the answer that precede this attempt. */
  given: string[]
  /** Targets that still hold the KV cache of the positions before. */
  keptTargets: ReadonlySet<string>
}

/** What opening works with. */
export interface OpenChainOptions {
  engines: EngineClient
  address: (target: string) => string | undefined
  connectTimeoutMs: number
  signal: AbortSignal
}

/**
 * @name openChain
 * @summary Opens a sequence on all stages of a chain.
 * @param chain - The chain.
 * @param request - The request.
 * @param attempt - Number of the attempt and what precedes it.
 * @param options - Engine client, addresses and limits.
 * @returns The open chain, whose disposal cancels the sequence on every stage, or the first failure.
 *
 * @example
 * const opened = await openChain(chain, request, { attempt: 1, given: [], keptTargets: new Set() }, options)
 */
export async function openChain (
  chain: Chain,
  request: AnswerRequest,
  attempt: Attempt,
  options: OpenChainOptions
): Promise<OpenChainResult> {
  const addresses = chain.map(part => options.address(part.target))
  const missing = addresses.indexOf(undefined)
  if (missing >= 0) return failed(chain[missing]!.target, 'the host is not listed', NEVER_SENT)

  const open = (index: number): Promise<OpenResult> => {
    const part = chain[index]!
    const next = addresses[index + 1]
    return options.engines.open({ target: part.target, address: addresses[index]! }, {
      request: request.request,
      attempt: attempt.attempt,
      model: request.model,
      fromLayer: part.fromLayer,
      toLayer: part.toLayer,
      firstPosition: attempt.given.length,
      prompt: index === 0 ? request.prompt : '',
      given: index === 0 ? attempt.given : [],
      maxTokens: request.maxTokens,
      priority: request.priority,
      first: addresses[0]!,
      rebuild: !attempt.keptTargets.has(part.target),
      ...(next === undefined ? {} : { next })
    }, { signal: options.signal, connectTimeoutMs: options.connectTimeoutMs })
  }

  const later = await Promise.all(chain.slice(1).map((_, index) => open(index + 1)))
  const bad = later.findIndex(result => result.kind !== 'open')
  if (bad >= 0) {
    await disposeAll(later)
    return describeFailure(chain[bad + 1]!.target, later[bad]!, NEVER_SENT)
  }
  const first = await open(0)
  if (first.kind !== 'open') {
    await disposeAll(later)
    const verdict: Verdict = first.kind === 'lost' ? { kind: 'mayHaveRun' } : NEVER_SENT
    return describeFailure(chain[0]!.target, first, verdict)
  }
  const stages = [first, ...later].flatMap(result => result.kind === 'open' ? [result.stage] : [])
  return {
    kind: 'open',
    chain: { attempt: attempt.attempt, chain, stages, [Symbol.asyncDispose]: () => disposeStages(stages) }
  }
}

function failed (target: string, cause: string, verdict: Verdict): OpenChainResult {
  return { kind: 'failed', target, cause, verdict }
}

function describeFailure (target: string, result: OpenResult, verdict: Verdict): OpenChainResult {
  return failed(target, result.kind === 'open' ? '' : `${result.kind}: ${result.cause}`, verdict)
}

async function disposeAll (results: OpenResult[]): Promise<void> {
  await disposeStages(results.flatMap(result => result.kind === 'open' ? [result.stage] : []))
}

async function disposeStages (stages: OpenStage[]): Promise<void> {
  await Promise.all(stages.map(stage => stage[Symbol.asyncDispose]()))
}
