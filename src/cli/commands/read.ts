/**
 * `coltsfootlead in-force`, `explain` and `members`, which only read.
 */
import { Command, Option } from 'clipanion'
import { explainCall, type CallExplanation } from '../../event/explainCall/index.js'
import type { LoggedEvent } from '../../event/types.js'
import type { Member } from '../../member/types.js'
import { EXIT, OperatorCommand } from '../_lib/operatorCommand.js'

export class InForceCommand extends OperatorCommand {
  static override paths = [['in-force']]
  static override usage = Command.Usage({ description: 'Show the configuration in force on a host, all of it or one scope.' })

  scope = Option.String({ required: false })

  async execute (): Promise<number> {
    const path = this.scope === undefined ? '/v1/in-force' : `/v1/in-force/${this.scope}`
    return await this.attempt(async () => this.show(await this.callOperatorPort(path), (body: { host: string, revision: number, store: string, storeAgeMs: number | null, tickets: Record<string, number>, scopes: Record<string, unknown> }) => [
      `${body.host}: revision ${body.revision}${body.store === 'reached' ? '' : `, object API not reached (last confirmed ${body.storeAgeMs ?? '-'} ms ago)`}`,
      ...Object.entries(body.scopes).map(([scope, value]) => `${scope} (ticket ${body.tickets[scope] ?? '-'}): ${JSON.stringify(value)}`)
    ].join('\n')))
  }
}

export class ExplainCommand extends OperatorCommand {
  static override paths = [['explain']]
  static override usage = Command.Usage({
    description: 'Explain a refusal by its id, or a call by its request id.',
    details: 'With log files of gateways (- for standard input) the call is explained from these files alone; otherwise the operator port is asked for the refusal.'
  })

  id = Option.String()
  files = Option.Rest()

  async execute (): Promise<number> {
    if (this.files.length > 0) return this.explain(await this.readLogs(this.files))
    const id = this.id.replace('urn:coltsfootlead:refusal:', '')
    return await this.attempt(async () => this.show(await this.callOperatorPort(`/v1/explain/${encodeURIComponent(id)}`), (body: object) => JSON.stringify(body, null, 2)))
  }

  private explain (events: LoggedEvent[]): number {
    const explanation = explainCall(events, this.id)
    if (explanation === undefined) {
      this.context.stderr.write(`no event with request id ${this.id}\n`)
      return EXIT.refused
    }
    this.printLine(this.json ? JSON.stringify(explanation) : renderExplanation(explanation))
    return EXIT.ok
  }
}

function renderExplanation ({ request, outcome, host, cause, evidence }: CallExplanation): string {
  return [`${request} at ${host ?? 'an unknown host'}: ${outcome}`, cause, ...evidence.map(line => `  ${line}`)].join('\n')
}

export class MembersCommand extends OperatorCommand {
  static override paths = [['members']]
  static override usage = Command.Usage({ description: 'List the members known to one host.' })

  async execute (): Promise<number> {
    return await this.attempt(async () => this.show(await this.callOperatorPort('/v1/members'), ({ members }: { members: Member[] }) =>
      members.map(member => `${member.host}  ${member.role}  ${member.failureDomain}  ${member.status}  revision ${member.revisionInForce}`).join('\n')))
  }
}
