/**
 * `coltsfootlead timeline`, which merges the events of all processes in causal order.
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
    details: 'Reads the given log files (- for standard input); without files, asks every member that the operator port knows. Text before the JSON of a line, such as a collector adds, is skipped.'
  })

  request = Option.String('--request', { description: 'Only events of this request' })
  ticket = Option.String('--ticket', { description: 'Only events of this ticket' })
  target = Option.String('--target', { description: 'Only events of this target' })
  host = Option.String('--host', { description: 'Only events of this host' })
  html = Option.String('--html', { description: 'Write a self-contained page with a lane for each process to this file' })
  files = Option.Rest()

  async execute (): Promise<number> {
    if (this.files.length > 0) return await this.render(await this.readLogs(this.files))
    return await this.attempt(async () => await this.render(await this.fetchEvents(this.filter())))
  }

  private async render (events: LoggedEvent[]): Promise<number> {
    const filter = this.filter()
    const merged = mergeTimeline(events, { filter })
    if (this.html !== undefined) await writeFile(this.html, renderTimelineHtml(merged, { title: describeFilter(filter) }))
    if (this.json) this.printLine(JSON.stringify(merged))
    else for (const event of merged) this.printLine(renderEvent(event))
    return EXIT.ok
  }

  private filter (): Record<string, string> {
    const { request, ticket, target, host } = this
    return Object.fromEntries(Object.entries({ request, ticket, target, host }).filter((pair): pair is [string, string] => pair[1] !== undefined))
  }

  private async fetchEvents (filter: Record<string, string>): Promise<LoggedEvent[]> {
    const { body } = await this.callOperatorPort('/v1/members')
    const { members } = body as { members: Member[] }
    const query = new URLSearchParams(filter).toString()
    const answers = await Promise.allSettled(members.map(member => this.callOperatorPort(`/v1/events?${query}`, { base: member.operatorUrl })))
    return answers.flatMap((answer, index) => {
      if (answer.status === 'fulfilled' && answer.value.status === 200) return (answer.value.body as { events: LoggedEvent[] }).events
      this.context.stderr.write(`no events from ${members[index]!.host} (${members[index]!.role})\n`)
      return []
    })
  }
}

/** Title of the HTML page. */
function describeFilter (filter: Record<string, string>): string {
  const parts = Object.entries(filter).map(([field, value]) => `${field} ${value}`)
  return parts.length === 0 ? 'all events' : parts.join(', ')
}

function renderEvent (event: LoggedEvent): string {
  const time = new Date(event.wallMs).toISOString()
  return `${time}+${event.counter}  ${event.host}/${event.process}  ${event.number} ${event.text}  ${describeFields(event)}`
}
