/**
 * `coltsfootlead timeline`: the events of all processes in causal order.
 */
import { writeFile } from 'node:fs/promises'
import { Command, Option } from 'clipanion'
import { describeFields } from '../../event/describeFields/index.js'
import type { LoggedEvent } from '../../event/types.js'
import { mergeTimeline } from '../../event/mergeTimeline/index.js'
import { renderTimelineHtml } from '../../event/renderTimelineHtml/index.js'
import type { Member } from '../../member/types.js'
import { EXIT, OperatorCommand } from '../_lib/operatorCommand.js'

export class TimelineCommand extends OperatorCommand {
  static override paths = [['timeline']]
  static override usage = Command.Usage({
    description: 'Merge the events of all processes in causal order.',
    details: 'Reads the log files given (- for standard input), or else asks every member that the operator port knows. Text before the JSON of a line, such as a collector adds, is passed over.'
  })

  request = Option.String('--request', { description: 'Only events of this request' })
  ticket = Option.String('--ticket', { description: 'Only events of this ticket' })
  target = Option.String('--target', { description: 'Only events of this target' })
  host = Option.String('--host', { description: 'Only events of this host' })
  html = Option.String('--html', { description: 'Write a self-contained page with a lane for each process to this file' })
  files = Option.Rest()

  async execute (): Promise<number> {
    if (this.files.length > 0) return await this.render(await this.readLogs(this.files))
    return await this.attempt(async () => await this.render(await this.askMembers(this.filter())))
  }

  private async render (events: LoggedEvent[]): Promise<number> {
    const filter = this.filter()
    const merged = mergeTimeline(events, { filter })
    if (this.html !== undefined) await writeFile(this.html, renderTimelineHtml(merged, { title: describeFilter(filter) }))
    if (this.json) this.print(JSON.stringify(merged))
    else for (const event of merged) this.print(renderEvent(event))
    return EXIT.ok
  }

  private filter (): Record<string, string> {
    const { request, ticket, target, host } = this
    return Object.fromEntries(Object.entries({ request, ticket, target, host }).filter((pair): pair is [string, string] => pair[1] !== undefined))
  }

  private async askMembers (filter: Record<string, string>): Promise<LoggedEvent[]> {
    const { body } = await this.ask('/v1/members')
    const { members } = body as { members: Member[] }
    const query = new URLSearchParams(filter).toString()
    const answers = await Promise.allSettled(members.map(member => this.ask(`/v1/events?${query}`, { base: member.operatorUrl })))
    return answers.flatMap((answer, index) => {
      if (answer.status === 'fulfilled' && answer.value.status === 200) return (answer.value.body as { events: LoggedEvent[] }).events
      this.context.stderr.write(`no events from ${members[index]!.host} (${members[index]!.role})\n`)
      return []
    })
  }
}

/** Title of the page. */
function describeFilter (filter: Record<string, string>): string {
  const parts = Object.entries(filter).map(([field, value]) => `${field} ${value}`)
  return parts.length === 0 ? 'all events' : parts.join(', ')
}

function renderEvent (event: LoggedEvent): string {
  const time = new Date(event.wallMs).toISOString()
  return `${time}+${event.counter}  ${event.host}/${event.process}  ${event.number} ${event.text}  ${describeFields(event)}`
}
