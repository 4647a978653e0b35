/**
 * Parses the text of a scenario into statements.
 */
import type { Node } from 'ohm-js'
import { grammar } from '../grammar.js'

/** A parsed statement: its grammar rule, and the names and numbers in it in source order. */
export interface Statement {
  /** Line number, from 1. */
  line: number
  source: string
  /** Rule of the grammar, such as `Start_entry`. */
  kind: string
  args: Array<string | number>
}

/** The parsed statements, or one message for each line with a syntax error. */
export type ScenarioResult =
  | { kind: 'valid', statements: Statement[] }
  | { kind: 'invalid', faults: string[] }

const semantics = grammar.createSemantics().addOperation<Array<string | number>>('args', {
  _nonterminal: (...children) => children.flatMap(child => child.args() as Array<string | number>),
  _iter: (...children) => children.flatMap(child => child.args() as Array<string | number>),
  _terminal: () => [],
  name (_first, _rest) { return [this.sourceString] },
  number (_digits) { return [Number(this.sourceString)] },
  quoted (_open, content, _close) { return [content.sourceString] },
  Thing (kind, name) { return [kind.sourceString, name.sourceString] },
  Engine (engine) { return [engine.sourceString] },
  Where (where) { return [where.sourceString] },
  Role (role) { return [role.sourceString] }
}).addOperation<string>('kind', {
  Statement: alternative => alternative.kind() as string,
  _nonterminal (...children: Node[]) {
    const [only] = children
    return children.length === 1 && only!.ctorName.startsWith(`${this.ctorName}_`) ? only!.ctorName : this.ctorName
  }
})

/**
 * @name parseScenario
 * @summary Parses a scenario.
 * @param text - One statement a line; `#` starts a comment.
 * @param options - `file`, the file name used in messages.
 * @returns The statements, or one message with its line number for each syntax error.
 *
 * @example
 * parseScenario('start entry on host-1 in domain-a', { file: 'a.scenario' })
 */
export function parseScenario (text: string, options: { file: string }): ScenarioResult {
  const statements: Statement[] = []
  const faults: string[] = []
  for (const [index, raw] of text.split('\n').entries()) {
    const source = raw.replace(/#.*$/, '').trim()
    if (source === '') continue
    const match = grammar.match(source, 'Statement')
    const line = index + 1
    if (match.failed()) {
      faults.push(`${options.file}:${line}: ${(match.shortMessage ?? '').replace(/^Line 1, col /, 'column ')}`)
      continue
    }
    const node = semantics(match)
    statements.push({ line, source, kind: node.kind() as string, args: node.args() as Array<string | number> })
  }
  return faults.length > 0 ? { kind: 'invalid', faults } : { kind: 'valid', statements }
}
