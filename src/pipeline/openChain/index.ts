/**
 * Opening one attempt of a sequence on every stage of a chain. The first stage is opened last,
 * so that nothing runs before all others have accepted.
 */
import type { EngineClient, OpenResult, OpenStage } from '../../engine/types.js'
import { NEVER_SENT } from '../../verdict/createRefusal/index.js'
import type { Verdict } from '../../verdict/types.js'
import { sequenceName, type AnswerRequest, type Chain, type OpenChainResult } from '../types.js'

/** One attempt. */
export interface Attempt {
  attempt: number
  /** Tokens of the answer that precede this attempt. */
  given: string[]
  /** Targets that still hold the KV cache of the positions before. */
  keptTargets: ReadonlySet<string>
  /** Targets to reach by a new connection. */
  freshTargets?: ReadonlySet<string>
}

/** What opening works with. */
export interface OpenChainOptions {
  engines: EngineClient
  address: (target: string) => string | undefined
  connectTimeoutMs: number
  signal: AbortSignal
  /** Called before anything is sent to a target. */
  onSent?: (target: string, address: string) => void
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

  const firstPosition = attempt.given.length
  const kept = chain.map(part => attempt.keptTargets.has(part.target) ? firstPosition : 0)
  const runFrom = kept.map((_, index) => Math.min(...kept.slice(index)))
  const open = (index: number): Promise<OpenResult> => {
    const part = chain[index]!
    const next = addresses[index + 1]
    const isEnd = index === 0 || next === undefined
    options.onSent?.(part.target, addresses[index]!)
    return options.engines.open({ target: part.target, address: addresses[index]! }, {
      request: sequenceName(request),
      attempt: attempt.attempt,
      model: request.model,
      fromLayer: part.fromLayer,
      toLayer: part.toLayer,
      firstPosition,
      prompt: index === 0 ? request.prompt : '',
      given: isEnd ? attempt.given : [],
      maxTokens: request.maxTokens,
      priority: request.priority,
      first: addresses[0]!,
      keptPositions: kept[index]!,
      runFrom: runFrom[index]!,
      passFrom: runFrom[index + 1] ?? firstPosition,
      ...(next === undefined ? {} : { next })
    }, { signal: options.signal, connectTimeoutMs: options.connectTimeoutMs, fresh: attempt.freshTargets?.has(part.target) ?? false })
  }

  const later = await Promise.all(chain.slice(1).map((_, index) => open(index + 1)))
  const bad = later.findIndex(result => result.kind !== 'open')
  if (bad >= 0) {
    detachAll(later)
    return describeFailure(chain[bad + 1]!.target, later[bad]!, NEVER_SENT)
  }
  const first = await open(0)
  if (first.kind !== 'open') {
    detachAll(later)
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
  if (result.kind === 'open') return failed(target, '', verdict)
  const failure = { kind: 'failed' as const, target, cause: `${result.kind}: ${result.cause}`, verdict }
  if (result.kind !== 'refused') return { ...failure, isConnectionSuspect: result.kind === 'lost' }
  const { reason, attempt } = result
  return { ...failure, ...(reason && { reason }), ...(attempt && { attempt }) }
}

/** Detaches the stages of a chain that did not open whole; they keep their KV cache for the next attempt. */
function detachAll (results: OpenResult[]): void {
  for (const result of results) if (result.kind === 'open') result.stage.detach()
}

async function disposeStages (stages: OpenStage[]): Promise<void> {
  await Promise.all(stages.map(stage => stage[Symbol.asyncDispose]()))
}
