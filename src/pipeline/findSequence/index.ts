/**
 * Finding an answer that another entry began, on the engines that still hold its sequence. The
 * first and the last stage know the tokens; the first one leads to the stages after it.
 */
import type { EngineClient, HeldSequence } from '../../engine/types.js'
import type { TargetDirectory } from '../../target/types.js'
import type { ModelScope } from '../../ticket/types.js'

/** Where and how to look. */
export interface FindSequenceOptions {
  /** Identity of the sequence on the engines. */
  sequence: string
  /** Tokens that the caller has. */
  givenTokens: number
  engines: EngineClient
  directory: TargetDirectory
  timeoutMs: number
}

/** What was found. */
export type FoundSequence =
  | {
    kind: 'found'
    /** Highest attempt that the engines have seen. */
    attempt: number
    /** Tokens that the caller has. */
    given: string[]
    /** Tokens after those, which `attempt` computed. */
    computed: string[]
    /** Whether those end the answer. */
    ended: boolean
    keptTargets: string[]
  }
  /** `isCertain` when every engine that may know it has answered. */
  | { kind: 'unknown', isCertain: boolean }

interface HeldStage {
  target: string
  held: HeldSequence
}

/**
 * @name findSequence
 * @summary Looks for a sequence on the engines of a model.
 * @param model - The model.
 * @param options - The sequence, the client and limits.
 * @returns The sequence's tokens and the targets that hold its KV cache, if any engine knows it.
 *
 * @example
 * const found = await findSequence(model, { sequence, givenTokens: 8, engines, directory, timeoutMs: 250 })
 */
export async function findSequence (model: ModelScope, options: FindSequenceOptions): Promise<FoundSequence> {
  const { givenTokens } = options
  const ends = model.placement.filter(part => part.fromLayer === 0 || part.toLayer === model.layers)
  const answers = await Promise.all(ends.map(part => askTarget(part.target, options)))
  const known = answers.flatMap(answer => answer.kind === 'known' ? [answer.stage] : [])
  const attempt = Math.max(0, ...known.map(stage => stage.held.attempt))
  const current = known.filter(stage => stage.held.attempt === attempt)
  const longest = current.reduce<HeldSequence | undefined>((best, { held }) => held.tokens.length > (best?.tokens.length ?? -1) ? held : best, undefined)
  if (longest === undefined || longest.tokens.length < givenTokens) {
    return { kind: 'unknown', isCertain: answers.every(answer => answer.kind !== 'unreachable') }
  }
  const middle = await followChain(model, current, options)
  const stages = [...current, ...middle].filter(({ held }) => held.attempt === attempt && held.keptPositions >= givenTokens)
  // Tokens before the attempt's first position were computed by an earlier attempt and are run again.
  const computed = givenTokens >= longest.firstPosition ? longest.tokens.slice(givenTokens) : []
  return {
    kind: 'found',
    attempt,
    given: longest.tokens.slice(0, givenTokens),
    computed,
    ended: longest.state === 'ended' && givenTokens >= longest.firstPosition,
    keptTargets: [...new Set(stages.map(stage => stage.target))]
  }
}

type AskedTarget = { kind: 'known', stage: HeldStage } | { kind: 'unknown' } | { kind: 'unreachable' }

async function askTarget (target: string, { sequence, engines, directory, timeoutMs }: FindSequenceOptions): Promise<AskedTarget> {
  const address = directory.address(target)
  if (address === undefined) return { kind: 'unreachable' }
  const answer = await engines.held({ target, address }, sequence, { timeoutMs })
  return answer.kind === 'known' ? { kind: 'known', stage: { target, held: answer.held } } : { kind: answer.kind }
}

/** The stages between the first and the last, by the address that each names as its next. */
async function followChain (model: ModelScope, ends: HeldStage[], options: FindSequenceOptions): Promise<HeldStage[]> {
  const targetAt = new Map(model.placement.map(({ target }) => [options.directory.address(target), target]))
  const stages: HeldStage[] = []
  let next = ends.find(({ held }) => held.next !== undefined)?.held.next
  while (next !== undefined && stages.length < model.placement.length) {
    const target = targetAt.get(next)
    const asked = target === undefined ? undefined : await askTarget(target, options)
    if (asked?.kind !== 'known') break
    stages.push(asked.stage)
    next = asked.stage.held.next
  }
  return stages
}
