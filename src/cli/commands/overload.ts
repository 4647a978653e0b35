/**
 * `coltsfootlead timeline overload`, which sums up from logs how the calls of an overload ended.
 */
import { readFile } from 'node:fs/promises'
import { Command, Option, UsageError } from 'clipanion'
import { readWholeLog } from '../../event/readWholeLog/index.js'
import { renderOverload } from '../../event/renderOverload/index.js'
import { summarizeOverload, type RouteLimits } from '../../event/summarizeOverload/index.js'
import type { LoggedEvent } from '../../event/types.js'
import { EXIT } from '../_lib/operatorCommand.js'

/** Faulty lines that are named before the rest is counted. */
const MAX_NAMED_FAULTS = 10

export class OverloadCommand extends Command {
  static override paths = [['timeline', 'overload']]
  static override usage = Command.Usage({
    description: 'Sum up from logs how calls ended, by route, account, failure domain, size of prompt and second.',
    details: 'Reads the given log files (- for standard input). Text before the JSON of a line, such as a collector adds, is skipped. A line that is cut or of another version is named, and nothing is printed. Objectives come from the lines; the options give those of lines without them.'
  })

  json = Option.Boolean('--json', false, { description: 'Print the summary as JSON' })
  objectiveMs = Option.Array('--objective-ms', [], { description: 'Objective in milliseconds, for all routes or as ROUTE=MS' })
  pauseMs = Option.Array('--pause-ms', [], { description: 'Longest pause of a stream in milliseconds, for all routes or as ROUTE=MS' })
  files = Option.Rest({ required: 1 })

  async execute (): Promise<number> {
    const objectives = parseLimits('--objective-ms', this.objectiveMs)
    const pauses = parseLimits('--pause-ms', this.pauseMs)
    const events = await this.readEvents()
    if (events === undefined) return EXIT.refused
    const summary = summarizeOverload(events, route => ({ ...limitFor('objectiveMs', objectives, route), ...limitFor('gapObjectiveMs', pauses, route) }))
    this.context.stdout.write(`${this.json ? JSON.stringify(summary) : renderOverload(summary)}\n`)
    return EXIT.ok
  }

  /** Events of all files; `undefined` once the faulty lines of any have been named. */
  private async readEvents (): Promise<LoggedEvent[] | undefined> {
    const events: LoggedEvent[] = []
    const problems: string[] = []
    for (const file of this.files) {
      try {
        const log = readWholeLog(await readFile(file === '-' ? '/dev/stdin' : file, 'utf8'))
        for (const event of log.events) events.push(event)
        problems.push(...log.faults.map(({ line, problem }) => `${file}:${line}: ${problem}`))
      } catch (error) {
        problems.push(`${file}: ${(error as Error).message}`)
      }
    }
    if (problems.length === 0 && events.length === 0) problems.push(`${this.files.join(', ')}: no event`)
    if (problems.length === 0) return events
    for (const problem of problems.slice(0, MAX_NAMED_FAULTS)) this.context.stderr.write(`${problem}\n`)
    if (problems.length > MAX_NAMED_FAULTS) this.context.stderr.write(`${problems.length - MAX_NAMED_FAULTS} more\n`)
    return undefined
  }
}

/** Limits by route; the key `''` holds the one for all routes. */
function parseLimits (option: string, values: readonly string[]): Map<string, number> {
  return new Map(values.map(value => {
    const cut = value.lastIndexOf('=')
    const limitMs = Number(value.slice(cut + 1))
    if (value.slice(cut + 1).trim() === '' || !Number.isFinite(limitMs) || limitMs <= 0) throw new UsageError(`${option} ${value}: not a number of milliseconds above 0`)
    return [value.slice(0, Math.max(0, cut)), limitMs]
  }))
}

function limitFor (field: keyof RouteLimits, limits: ReadonlyMap<string, number>, route: string): RouteLimits {
  const limitMs = limits.get(route) ?? limits.get('')
  return limitMs === undefined ? {} : { [field]: limitMs }
}
