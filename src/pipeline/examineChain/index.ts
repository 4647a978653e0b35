/**
 * Finding out why no token comes. Every stage is asked, on a fresh connection, how far it is with
 * the sequence; the answers tell a slow stage from a lost one, a silent connection and a lost link.
 */
import type { EngineClient, HeldResult } from '../../engine/types.js'
import type { TargetDirectory } from '../../target/types.js'
import type { Chain } from '../types.js'

/** What is wrong with a chain. */
export type Finding =
  /** A stage is computing: wait on. */
  | { kind: 'working' }
  /** Targets that do not answer on a fresh connection. */
  | { kind: 'targetsLost', targets: string[] }
  /** Targets that answer and no longer hold the sequence. */
  | { kind: 'sequenceLost', targets: string[] }
  /** Tokens were computed and did not arrive here. */
  | { kind: 'connectionSilent', target: string }
  /** What one stage passed on did not reach the other in time. */
  | { kind: 'linkLost', from: string, to: string }

/** Result of an examination. */
export interface Examination {
  finding: Finding
  /** Tokens from the awaited position on that the last stage has computed. */
  computed: string[]
  /** Whether those end the answer. */
  ended: boolean
  /** Sum of the stages' next positions; grows while anything moves. */
  progress: number
}

/** What one stage of a chain answered. */
export interface StageAnswer {
  target: string
  answer: HeldResult
}

/** What examining works with. */
export interface ExamineChainOptions {
  /** Identity of the sequence on the engines. */
  sequence: string
  attempt: number
  /** Next position that is awaited here. */
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
 * @returns What was found.
 *
 * @example
 * const finding = await examineChain(chain, { sequence, attempt, position, engines, directory, timeoutMs: 250 })
 */
export async function examineChain (chain: Chain, options: ExamineChainOptions): Promise<Examination> {
  const { sequence, attempt, engines, directory, timeoutMs } = options
  const answers = await Promise.all(chain.map(async ({ target }): Promise<StageAnswer> => {
    const address = directory.address(target)
    if (address === undefined) return { target, answer: { kind: 'unreachable', cause: 'the host is not listed' } }
    return { target, answer: await engines.held({ target, address }, sequence, { timeoutMs, useNewConnection: true }) }
  }))
  return judgeChain(answers, { attempt, position: options.position() })
}

/**
 * @name judgeChain
 * @summary What the answers of a chain's stages mean.
 * @param answers - Answers in the order of the stages; not empty.
 * @param options - The attempt, and the position that is awaited.
 * @returns What is wrong, if anything.
 *
 * @example
 * judgeChain([{ target: 'a', answer: { kind: 'unknown' } }], { attempt: 1, position: 4 })
 */
export function judgeChain (answers: StageAnswer[], options: { attempt: number, position: number }): Examination {
  const { attempt, position } = options
  const { answer } = answers.at(-1)!
  const held = answer.kind === 'known' && answer.held.attempt === attempt ? answer.held : undefined
  const computed = held?.tokens.slice(position) ?? []
  const ended = held?.state === 'ended' && computed.length > 0
  const progress = answers.reduce((sum, stage) => sum + (stage.answer.kind === 'known' ? stage.answer.held.nextPosition : 0), 0)
  return { finding: findFault(answers, { attempt, hasComputed: computed.length > 0, ended }), computed, ended, progress }
}

function findFault (answers: StageAnswer[], options: { attempt: number, hasComputed: boolean, ended: boolean }): Finding {
  const { attempt, hasComputed, ended } = options
  const silent: Finding = { kind: 'connectionSilent', target: answers.at(-1)!.target }
  if (ended) return silent
  const unreachable = answers.filter(({ answer }) => answer.kind === 'unreachable').map(({ target }) => target)
  if (unreachable.length > 0) return { kind: 'targetsLost', targets: unreachable }
  const stages = answers.flatMap(({ target, answer }) => {
    return answer.kind === 'known' && answer.held.state === 'running' && answer.held.attempt === attempt ? [{ target, ...answer.held }] : []
  })
  const running = new Set(stages.map(stage => stage.target))
  const forgotten = answers.map(({ target }) => target).filter(target => !running.has(target))
  if (forgotten.length > 0) return { kind: 'sequenceLost', targets: forgotten }
  if (hasComputed) return silent
  if (stages.some(stage => stage.busy)) return { kind: 'working' }
  const behind = stages.findIndex((stage, index) => index > 0 && stage.nextPosition < stages[index - 1]!.nextPosition)
  const [from, to] = behind > 0 ? [stages[behind - 1]!, stages[behind]!] : [stages.at(-1)!, stages[0]!]
  return { kind: 'linkLost', from: from.target, to: to.target }
}
