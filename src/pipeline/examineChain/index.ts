/**
 * Determines why a chain delivers no token. Every stage is asked over a new connection how far it
 * has got with the sequence; the answers distinguish a slow stage, a lost stage, a silent connection
 * and a lost link.
 */
import type { EngineClient, HeldResult } from '../../engine/types.js'
import type { TargetDirectory } from '../../target/types.js'
import type { Chain } from '../types.js'

/** Why a chain delivers no token. */
export type Finding =
  /** A stage is still computing: keep waiting. */
  | { kind: 'working' }
  /** Targets that do not answer on a new connection. */
  | { kind: 'targetsLost', targets: string[] }
  /** Targets that answer but no longer run this attempt of the sequence. */
  | { kind: 'sequenceLost', targets: string[] }
  /** The last stage computed tokens that did not arrive here. */
  | { kind: 'connectionSilent', target: string }
  /** Output of stage `from` did not reach stage `to`: the next stage, or the first one for tokens of the last stage. */
  | { kind: 'linkLost', from: string, to: string }

/** Result of an examination. */
export interface Examination {
  finding: Finding
  /** Tokens that the last stage has computed, from the awaited position on. */
  computed: string[]
  /** Whether `computed` ends the answer. */
  ended: boolean
  /** Sum of the stages' next positions; unchanged between two examinations when no stage progressed. */
  positionSum: number
}

/** What one stage of a chain answered. */
export interface StageAnswer {
  target: string
  answer: HeldResult
}

/** Which sequence to ask for, and how. */
export interface ExamineChainOptions {
  /** Name of the sequence on the engines; see `sequenceName`. */
  sequence: string
  attempt: number
  /** Position of the next token to arrive here; read after the stages have answered. */
  position: () => number
  engines: EngineClient
  directory: TargetDirectory
  timeoutMs: number
}

/**
 * @name examineChain
 * @summary Asks every stage of a chain for its progress.
 * @param chain - The chain.
 * @param options - Sequence, awaited position, client and limits.
 * @returns The finding, and the tokens that were computed but did not arrive.
 *
 * @example
 * const examination = await examineChain(chain, { sequence, attempt, position, engines, directory, timeoutMs: 250 })
 */
export async function examineChain (chain: Chain, options: ExamineChainOptions): Promise<Examination> {
  const { sequence, attempt, engines, directory, timeoutMs } = options
  const answers = await Promise.all(chain.map(async ({ target }): Promise<StageAnswer> => {
    const address = directory.address(target)
    if (address === undefined) return { target, answer: { kind: 'unreachable', cause: 'the host is not listed' } }
    return { target, answer: await engines.held({ target, address }, sequence, { timeoutMs, useNewConnection: true }) }
  }))
  return interpretAnswers(answers, { attempt, position: options.position() })
}

/**
 * @name interpretAnswers
 * @summary Derives an examination from the answers of a chain's stages.
 * @param answers - Answers in the order of the stages; not empty.
 * @param options - The attempt, and the position that is awaited.
 * @returns The finding, and the tokens that were computed but did not arrive.
 *
 * @example
 * interpretAnswers([{ target: 'a', answer: { kind: 'unknown' } }], { attempt: 1, position: 4 })
 */
export function interpretAnswers (answers: StageAnswer[], options: { attempt: number, position: number }): Examination {
  const { attempt, position } = options
  const { answer } = answers.at(-1)!
  const held = answer.kind === 'known' && answer.held.attempt === attempt ? answer.held : undefined
  const computed = held?.tokens.slice(position) ?? []
  const ended = held?.state === 'ended' && computed.length > 0
  const positionSum = answers.reduce((sum, stage) => sum + (stage.answer.kind === 'known' ? stage.answer.held.nextPosition : 0), 0)
  return { finding: determineFinding(answers, { attempt, hasComputed: computed.length > 0, ended }), computed, ended, positionSum }
}

function determineFinding (answers: StageAnswer[], options: { attempt: number, hasComputed: boolean, ended: boolean }): Finding {
  const { attempt, hasComputed, ended } = options
  const connectionSilent: Finding = { kind: 'connectionSilent', target: answers.at(-1)!.target }
  if (ended) return connectionSilent
  const unreachable = answers.filter(({ answer }) => answer.kind === 'unreachable').map(({ target }) => target)
  if (unreachable.length > 0) return { kind: 'targetsLost', targets: unreachable }
  const stages = answers.flatMap(({ target, answer }) => {
    return answer.kind === 'known' && answer.held.state === 'running' && answer.held.attempt === attempt ? [{ target, ...answer.held }] : []
  })
  const running = new Set(stages.map(stage => stage.target))
  const notRunning = answers.map(({ target }) => target).filter(target => !running.has(target))
  if (notRunning.length > 0) return { kind: 'sequenceLost', targets: notRunning }
  if (hasComputed) return connectionSilent
  if (stages.some(stage => stage.busy)) return { kind: 'working' }
  const behindIndex = stages.findIndex((stage, index) => index > 0 && stage.nextPosition < stages[index - 1]!.nextPosition)
  const [from, to] = behindIndex > 0 ? [stages[behindIndex - 1]!, stages[behindIndex]!] : [stages.at(-1)!, stages[0]!]
  return { kind: 'linkLost', from: from.target, to: to.target }
}
