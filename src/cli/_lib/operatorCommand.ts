/**
 * Base of the operator's commands: address of the operator port, token, requests and output.
 */
import { readFile } from 'node:fs/promises'
import { Command, Option, UsageError } from 'clipanion'
import { request } from 'undici'
import { parseLogLines } from '../../event/parseLogLines/index.js'
import type { LoggedEvent } from '../../event/types.js'

/** Exit codes, the same for every command. */
export const EXIT = {
  ok: 0,
  /** The system refused, or a checked file is invalid. */
  refused: 1,
  /** The command line is invalid; clipanion uses this code too. */
  usage: 1,
  /** The operator port could not be reached. */
  unreachable: 3,
  /** The outcome is not yet known; try again. */
  uncertain: 4
} as const

/** Response of the operator port. */
export interface OperatorAnswer {
  status: number
  body: unknown
}

/** Base of commands that send requests to an operator port. */
export abstract class OperatorCommand extends Command {
  operator = Option.String('--operator', '', {
    description: 'Base URL of any daemon\'s operator port; COLTSFOOTLEAD_OPERATOR otherwise', env: 'COLTSFOOTLEAD_OPERATOR'
  })

  token = Option.String('--token', '', {
    description: 'Operator token as <name>.<secret>; COLTSFOOTLEAD_TOKEN otherwise', env: 'COLTSFOOTLEAD_TOKEN'
  })

  json = Option.Boolean('--json', false, { description: 'Print the answer as JSON' })

  /** Sends a request to the operator port at `--operator`, or at `base` if given. */
  protected async callOperatorPort (path: string, options: { method?: 'GET' | 'POST', body?: string, base?: string } = {}): Promise<OperatorAnswer> {
    const { method = 'GET', body, base = this.operator } = options
    const answer = await request(`${base}${path}`, {
      method,
      headers: { authorization: `Bearer ${this.token}`, 'content-type': 'application/json' },
      ...(body === undefined ? {} : { body })
    })
    return { status: answer.statusCode, body: await answer.body.json() }
  }

  /** Runs `work` once address and token are known; an error that it throws is printed and becomes exit code `unreachable`. */
  protected async attempt (work: () => Promise<number>): Promise<number> {
    if (this.operator === '') throw new UsageError('pass --operator or set COLTSFOOTLEAD_OPERATOR')
    if (this.token === '') throw new UsageError('pass --token or set COLTSFOOTLEAD_TOKEN')
    try {
      return await work()
    } catch (error) {
      this.context.stderr.write(`${this.operator}: ${(error as Error).message}\n`)
      return EXIT.unreachable
    }
  }

  /** Reads the events of log files, `-` for standard input; prints how many lines could not be read. */
  protected async readLogs (files: readonly string[]): Promise<LoggedEvent[]> {
    const logs = await Promise.all(files.map(async file => parseLogLines(await readFile(file === '-' ? '/dev/stdin' : file, 'utf8'))))
    const unreadableLines = logs.reduce((sum, log) => sum + log.unreadableLines, 0)
    if (unreadableLines > 0) this.context.stderr.write(`${unreadableLines} lines could not be read\n`)
    return logs.flatMap(log => log.events)
  }

  protected printLine (line: string): void {
    this.context.stdout.write(`${line}\n`)
  }

  /** Prints an answer as JSON with `--json`, otherwise with `render`; without `--json`, refusals go to standard error. Returns the exit code. */
  protected show (answer: OperatorAnswer, render: (body: never) => string): number {
    if (this.json) this.printLine(JSON.stringify(answer.body))
    if (answer.status >= 400) {
      const { title, reason, facts } = answer.body as { title: string, reason: number, facts: unknown }
      if (!this.json) this.context.stderr.write(`refused (reason ${reason}): ${title}\n${JSON.stringify(facts, null, 2)}\n`)
      return answer.status === 503 ? EXIT.uncertain : EXIT.refused
    }
    if (!this.json) this.printLine(render(answer.body as never))
    return EXIT.ok
  }
}
