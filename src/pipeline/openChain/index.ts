/**
 * Opening one attempt of a sequence on every stage of a chain. The first stage is opened last,
 * so that nothing runs before all others have accepted.
 */
import type { EngineClient, OpenResult, OpenStage } from '../../engine/types.js'
import { NEVER_SENT } from '../../verdict/createRefusal/index.js'
import type { Verdict } from '../../verdict/types.js'
import { sequenceName, type AnswerRequest, type Chain, type OpenChainResult, type OpenFailure } from '../types.js'

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
  /** Limit for an answer on a new connection; one that may be a kept one gets half of it. */
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
 * @returns The open chain, whose disposal cancels the sequence on every stage, or every failure.
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
  const unlisted = chain.filter((_, index) => addresses[index] === undefined)
  if (unlisted.length > 0) {
    const failures = unlisted.map(({ target }) => ({ target, cause: 'the host is not listed' }))
    return { kind: 'failed', failures, verdict: NEVER_SENT }
  }

  const firstPosition = attempt.given.length
  const kept = chain.map(part => attempt.keptTargets.has(part.target) ? firstPosition : 0)
  const runFrom = kept.map((_, index) => Math.min(...kept.slice(index)))
  const open = (index: number): Promise<OpenResult> => {
    const part = chain[index]!
    const next = addresses[index + 1]
    const useNewConnection = attempt.freshTargets?.has(part.target) ?? false
    const connectTimeoutMs = useNewConnection ? options.connectTimeoutMs : options.connectTimeoutMs / 2
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
    }, { signal: options.signal, connectTimeoutMs, useNewConnection })
  }

  const later = await Promise.all(chain.slice(1).map((_, index) => open(index + 1)))
  const failures = later.flatMap((result, index) => describeFailure(chain[index + 1]!.target, result))
  if (failures.length > 0) {
    detachAll(later)
    return { kind: 'failed', failures, verdict: NEVER_SENT }
  }
  const first = await open(0)
  if (first.kind !== 'open') {
    detachAll(later)
    const verdict: Verdict = first.kind === 'lost' ? { kind: 'mayHaveRun' } : NEVER_SENT
    return { kind: 'failed', failures: describeFailure(chain[0]!.target, first), verdict }
  }
  const stages = [first, ...later].flatMap(result => result.kind === 'open' ? [result.stage] : [])
  return {
    kind: 'open',
    chain: { attempt: attempt.attempt, chain, stages, [Symbol.asyncDispose]: () => disposeStages(stages) }
  }
}

function describeFailure (target: string, result: OpenResult): OpenFailure[] {
  if (result.kind === 'open') return []
  const failure = { target, cause: `${result.kind}: ${result.cause}` }
  if (result.kind !== 'refused') return [{ ...failure, isConnectionSuspect: result.kind === 'lost' }]
  const { reason, attempt } = result
  return [{ ...failure, ...(reason && { reason }), ...(attempt && { attempt }) }]
}

/** Detaches the stages of a chain that did not open whole; they keep their KV cache for the next attempt. */
function detachAll (results: OpenResult[]): void {
  for (const result of results) if (result.kind === 'open') result.stage.detach()
}

async function disposeStages (stages: OpenStage[]): Promise<void> {
  await Promise.all(stages.map(stage => stage[Symbol.asyncDispose]()))
}
