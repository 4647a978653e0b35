/**
 * Opens one attempt of a sequence on every stage of a chain. The first stage is opened last, so that
 * nothing runs before all the others have accepted.
 */
import type { EngineClient, OpenResult, OpenStage } from '../../engine/types.js'
import { NEVER_SENT } from '../../verdict/createRefusal/index.js'
import type { Verdict } from '../../verdict/types.js'
import { sequenceName, type AnswerRequest, type Chain, type OpenChainResult, type OpenFailure } from '../types.js'

/** An attempt and the state that it starts from. */
export interface AttemptStart {
  attempt: number
  /** Tokens of the answer before this attempt's first position. */
  given: string[]
  /** Targets that still hold the KV cache of those tokens. */
  keptTargets: ReadonlySet<string>
  /** Targets whose stage must be opened on a new connection. */
  reconnectTargets?: ReadonlySet<string>
}

/** Engine client and limits. */
export interface OpenChainOptions {
  engines: EngineClient
  address: (target: string) => string | undefined
  /** Limit for the response on a new connection; half of it applies where a kept-alive one may be reused. */
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
 * @param attempt - Number of the attempt and the state that it starts from.
 * @param options - Engine client, addresses and limits.
 * @returns The open chain, whose disposal cancels the sequence on every stage, or every failure.
 *
 * @example
 * const opened = await openChain(chain, request, { attempt: 1, given: [], keptTargets: new Set() }, options)
 */
export async function openChain (
  chain: Chain,
  request: AnswerRequest,
  attempt: AttemptStart,
  options: OpenChainOptions
): Promise<OpenChainResult> {
  const addresses = chain.map(stage => options.address(stage.target))
  const unlisted = chain.filter((_, index) => addresses[index] === undefined)
  if (unlisted.length > 0) {
    const failures = unlisted.map(({ target }) => ({ target, cause: 'the host is not listed' }))
    return { kind: 'failed', failures, verdict: NEVER_SENT }
  }

  const firstPosition = attempt.given.length
  const keptPositions = chain.map(stage => attempt.keptTargets.has(stage.target) ? firstPosition : 0)
  // A stage runs every position that it or any later stage has no KV cache for.
  const runFrom = keptPositions.map((_, index) => Math.min(...keptPositions.slice(index)))
  const open = (index: number): Promise<OpenResult> => {
    const stage = chain[index]!
    const next = addresses[index + 1]
    const useNewConnection = attempt.reconnectTargets?.has(stage.target) ?? false
    const connectTimeoutMs = useNewConnection ? options.connectTimeoutMs : options.connectTimeoutMs / 2
    const isFirstOrLast = index === 0 || next === undefined
    options.onSent?.(stage.target, addresses[index]!)
    return options.engines.open({ target: stage.target, address: addresses[index]! }, {
      request: sequenceName(request),
      attempt: attempt.attempt,
      model: request.model,
      fromLayer: stage.fromLayer,
      toLayer: stage.toLayer,
      firstPosition,
      prompt: index === 0 ? request.prompt : '',
      given: isFirstOrLast ? attempt.given : [],
      maxTokens: request.maxTokens,
      priority: request.priority,
      first: addresses[0]!,
      keptPositions: keptPositions[index]!,
      runFrom: runFrom[index]!,
      passFrom: runFrom[index + 1] ?? firstPosition,
      ...(next === undefined ? {} : { next })
    }, { signal: options.signal, connectTimeoutMs, useNewConnection })
  }

  const laterResults = await Promise.all(chain.slice(1).map((_, index) => open(index + 1)))
  const failures = laterResults.flatMap((result, index) => describeFailure(chain[index + 1]!.target, result))
  if (failures.length > 0) {
    detachAll(laterResults)
    return { kind: 'failed', failures, verdict: NEVER_SENT }
  }
  const firstResult = await open(0)
  if (firstResult.kind !== 'open') {
    detachAll(laterResults)
    const verdict: Verdict = firstResult.kind === 'lost' ? { kind: 'mayHaveRun' } : NEVER_SENT
    return { kind: 'failed', failures: describeFailure(chain[0]!.target, firstResult), verdict }
  }
  const stages = [firstResult, ...laterResults].flatMap(result => result.kind === 'open' ? [result.stage] : [])
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

/** Detaches the stages that opened in a chain that failed to open; they keep their KV cache for the next attempt. */
function detachAll (results: OpenResult[]): void {
  for (const result of results) if (result.kind === 'open') result.stage.detach()
}

async function disposeStages (stages: OpenStage[]): Promise<void> {
  await Promise.all(stages.map(stage => stage[Symbol.asyncDispose]()))
}
