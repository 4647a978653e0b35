/**
 * Runs the statements of a scenario over a world and keeps the session as text.
 */
import type { Statement } from '../parseScenario/index.js'
import { createSession, type Session } from '../_lib/session.js'
import { EXPECTATIONS } from '../_lib/expectations.js'
import { ACTIONS } from '../_lib/actions.js'
import { renderSession } from '../_lib/renderSession.js'

/** What became of a scenario. */
export interface ScenarioOutcome {
  kind: 'passed' | 'failed'
  /** Line and reason of the failure. */
  failure?: string
  /** The whole session: statements, answers and the time line, identities and times normalised. */
  session: string
}

/** What a statement does. */
export type StatementHandler = (session: Session, args: Array<string | number>) => Promise<void>

const HANDLERS: Record<string, StatementHandler> = { ...ACTIONS, ...EXPECTATIONS }

/** Every kind of statement that can be run. */
export const STATEMENT_KINDS = Object.keys(HANDLERS)

/**
 * @name runScenario
 * @summary Runs a scenario to its end or to the first expectation that does not hold.
 * @param statements - The statements.
 * @param options - Seed of everything random.
 * @returns The outcome and the session.
 *
 * @example
 * const outcome = await runScenario(statements, { seed: 1 })
 */
export async function runScenario (statements: Statement[], options: { seed: number }): Promise<ScenarioOutcome> {
  const session = createSession(options)
  for (const statement of statements) {
    session.notes.push(`> ${statement.source}`)
    try {
      await HANDLERS[statement.kind]!(session, statement.args)
      await session.world.runtime.settle()
    } catch (error) {
      const failure = `line ${statement.line}: ${statement.source}: ${(error as Error).message}`
      return { kind: 'failed', failure, session: renderSession(session) }
    }
  }
  const text = renderSession(session)
  await Promise.all(session.world.daemons.filter(daemon => daemon.gate.state() === 'running').map(daemon => daemon.stop()))
  return { kind: 'passed', session: text }
}
