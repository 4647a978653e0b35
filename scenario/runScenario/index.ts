/**
 * Runs the statements of a scenario in a simulation and records a transcript.
 */
import type { Statement } from '../parseScenario/index.js'
import { createScenarioRun, type ScenarioRun } from '../_lib/scenarioRun.js'
import { EXPECTATIONS } from '../_lib/expectations.js'
import { ACTIONS } from '../_lib/actions.js'
import { renderTranscript } from '../_lib/renderTranscript.js'

/** The outcome of a scenario. */
export interface ScenarioOutcome {
  kind: 'passed' | 'failed'
  /** Line and reason of the failure. */
  failure?: string
  /** Statements, answers and events; random ids are numbered and times count from the first event. */
  transcript: string
}

/** Runs one kind of statement; throws if an expectation does not hold. */
export type StatementHandler = (run: ScenarioRun, args: Array<string | number>) => Promise<void>

const HANDLERS: Record<string, StatementHandler> = { ...ACTIONS, ...EXPECTATIONS }

/** Every kind of statement that has a handler. */
export const STATEMENT_KINDS = Object.keys(HANDLERS)

/**
 * @name runScenario
 * @summary Runs a scenario until its end or its first failing statement.
 * @param statements - The statements.
 * @param options - `seed`, of every random choice.
 * @returns The outcome and the transcript.
 *
 * @example
 * const outcome = await runScenario(statements, { seed: 1 })
 */
export async function runScenario (statements: Statement[], options: { seed: number }): Promise<ScenarioOutcome> {
  const run = createScenarioRun(options)
  for (const statement of statements) {
    run.executedStatements.push(`> ${statement.source}`)
    try {
      await HANDLERS[statement.kind]!(run, statement.args)
      await run.simulation.runtime.settle()
    } catch (error) {
      const failure = `line ${statement.line}: ${statement.source}: ${(error as Error).message}`
      return { kind: 'failed', failure, transcript: renderTranscript(run) }
    }
  }
  const transcript = renderTranscript(run)
  await Promise.all(run.simulation.daemons.filter(daemon => daemon.process.state() === 'running').map(daemon => daemon.stop()))
  return { kind: 'passed', transcript }
}
