/**
 * Finds an answer that another entry began, on the engines that still hold its sequence. The first
 * and the last stage know its tokens; each stage knows the address of the next one.
 */
import type { EngineClient, HeldSequence } from '../../engine/types.js'
import type { TargetDirectory } from '../../target/types.js'
import type { ModelScope } from '../../ticket/types.js'

/** Which sequence to look for, and how. */
export interface FindSequenceOptions {
  /** Name of the sequence on the engines; see `sequenceName`. */
  sequence: string
  /** Tokens that the caller has. */
  givenTokens: number
  engines: EngineClient
  directory: TargetDirectory
  timeoutMs: number
}

/** Result of the search. */
export type FoundSequence =
  | {
    kind: 'found'
    /** Highest attempt that an engine knows of. */
    attempt: number
    /** Tokens that the caller has. */
    given: string[]
    /** Tokens after `given` that were computed by `attempt`. */
    computed: string[]
    /** Whether `computed` ends the answer. */
    ended: boolean
    /** Targets that hold the KV cache of every token in `given`. */
    keptTargets: string[]
  }
  /** `isCertain` when every engine that may hold the first or the last stage has answered. */
  | { kind: 'unknown', isCertain: boolean }

/** A target and the state of the sequence on it. */
interface HeldStage {
  target: string
  held: HeldSequence
}

/**
 * @name findSequence
 * @summary Searches the engines of a model for a sequence.
 * @param model - The model.
 * @param options - The sequence, the engine client and limits.
 * @returns The sequence's tokens and the targets that hold its KV cache, if any engine knows it.
 *
 * @example
 * const found = await findSequence(model, { sequence, givenTokens: 8, engines, directory, timeoutMs: 250 })
 */
export async function findSequence (model: ModelScope, options: FindSequenceOptions): Promise<FoundSequence> {
  const { givenTokens } = options
  const endPlacements = model.placement.filter(placement => placement.fromLayer === 0 || placement.toLayer === model.layers)
  const answers = await Promise.all(endPlacements.map(placement => askTarget(placement.target, options)))
  const knownStages = answers.flatMap(answer => answer.kind === 'known' ? [answer.stage] : [])
  const attempt = Math.max(0, ...knownStages.map(stage => stage.held.attempt))
  const currentStages = knownStages.filter(stage => stage.held.attempt === attempt)
  const longest = currentStages.reduce<HeldSequence | undefined>((best, { held }) => held.tokens.length > (best?.tokens.length ?? -1) ? held : best, undefined)
  if (longest === undefined || longest.tokens.length < givenTokens) {
    return { kind: 'unknown', isCertain: answers.every(answer => answer.kind !== 'unreachable') }
  }
  const middleStages = await findMiddleStages(model, currentStages, options)
  const stages = [...currentStages, ...middleStages].filter(({ held }) => held.attempt === attempt && held.keptPositions >= givenTokens)
  // Tokens before the attempt's first position were computed by an earlier attempt, so they are computed again.
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

type TargetAnswer = { kind: 'known', stage: HeldStage } | { kind: 'unknown' } | { kind: 'unreachable' }

async function askTarget (target: string, { sequence, engines, directory, timeoutMs }: FindSequenceOptions): Promise<TargetAnswer> {
  const address = directory.address(target)
  if (address === undefined) return { kind: 'unreachable' }
  const answer = await engines.held({ target, address }, sequence, { timeoutMs })
  return answer.kind === 'known' ? { kind: 'known', stage: { target, held: answer.held } } : { kind: answer.kind }
}

/** Finds the stages after the first one by following the address of the next stage that each one reports. */
async function findMiddleStages (model: ModelScope, endStages: HeldStage[], options: FindSequenceOptions): Promise<HeldStage[]> {
  const targetsByAddress = new Map(model.placement.map(({ target }) => [options.directory.address(target), target]))
  const stages: HeldStage[] = []
  let next = endStages.find(({ held }) => held.next !== undefined)?.held.next
  while (next !== undefined && stages.length < model.placement.length) {
    const target = targetsByAddress.get(next)
    const answer = target === undefined ? undefined : await askTarget(target, options)
    if (answer?.kind !== 'known') break
    stages.push(answer.stage)
    next = answer.stage.held.next
  }
  return stages
}
