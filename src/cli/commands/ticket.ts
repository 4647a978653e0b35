/**
 * `coltsfootlead ticket submit|show|list`.
 */
import { readFile } from 'node:fs/promises'
import { setTimeout as delay } from 'node:timers/promises'
import { Command, Option } from 'clipanion'
import { formatFault } from '../../settings/parseJsonc/index.js'
import { checkTicketText } from '../../ticket/checkTicketText/index.js'
import type { listTickets, TicketProgress } from '../../ticket/showTicket/index.js'
import { EXIT, OperatorCommand, type OperatorAnswer } from '../_lib/operatorCommand.js'

/** Wait between looks at a ticket's progress. */
const WAIT_POLL_MS = 200

/** Wait before a ticket whose outcome is not known is submitted again. */
const RESUBMIT_MS = 1_000

export class TicketSubmitCommand extends OperatorCommand {
  static override paths = [['ticket', 'submit']]
  static override usage = Command.Usage({
    description: 'Submit a change ticket.',
    details: 'Exit code 0: accepted (with --wait: in force on every live member). 1: refused. 3: not reachable. 4: outcome not yet known; submit the same file again.'
  })

  file = Option.String()
  wait = Option.Boolean('--wait', false, { description: 'Submit again while the outcome is unknown, then wait until the ticket is in force on every live member' })
  waitMs = Option.String('--wait-ms', '30000', { description: 'Longest wait in milliseconds' })

  async execute (): Promise<number> {
    const text = await readFile(this.file, 'utf8')
    const checked = checkTicketText(text, { file: this.file })
    if (checked.kind === 'invalid') {
      for (const fault of checked.faults) this.context.stderr.write(`${formatFault(fault)}\n`)
      return EXIT.refused
    }
    return await this.attempt(async () => {
      const answer = await this.submit(text)
      const code = this.show(answer, ({ number, revision }: { number: number, revision: number }) => `ticket ${number} accepted at revision ${revision}`)
      return code === EXIT.ok && this.wait ? await this.waitInForce(checked.value.number) : code
    })
  }

  /** Submits the file; with `--wait` again and again while the outcome is not known. */
  private async submit (text: string): Promise<OperatorAnswer> {
    let answer = await this.ask('/v1/tickets', { method: 'POST', body: text })
    for (let leftMs = Number(this.waitMs); this.wait && answer.status === 503 && leftMs > 0; leftMs -= RESUBMIT_MS) {
      await delay(RESUBMIT_MS)
      answer = await this.ask('/v1/tickets', { method: 'POST', body: text })
    }
    return answer
  }

  private async waitInForce (number: number): Promise<number> {
    for (let leftMs = Number(this.waitMs); leftMs > 0; leftMs -= WAIT_POLL_MS) {
      const { status, body } = await this.ask(`/v1/tickets/${number}`)
      const ticket = body as TicketProgress
      if (status === 200 && ticket.state === 'inForce') {
        if (!this.json) this.print(`ticket ${number} in force on ${ticket.inForceOn} of ${ticket.members} members`)
        return EXIT.ok
      }
      await delay(WAIT_POLL_MS)
    }
    this.context.stderr.write(`ticket ${number} is accepted but not yet in force on every member\n`)
    return EXIT.uncertain
  }
}

export class TicketShowCommand extends OperatorCommand {
  static override paths = [['ticket', 'show']]
  static override usage = Command.Usage({ description: 'Show how far a ticket has come into force, and who lags.' })

  number = Option.String()

  async execute (): Promise<number> {
    return await this.attempt(async () => this.show(await this.ask(`/v1/tickets/${this.number}`), renderTicket))
  }
}

export class TicketListCommand extends OperatorCommand {
  static override paths = [['ticket', 'list']]
  static override usage = Command.Usage({ description: 'List the recorded tickets.' })

  async execute (): Promise<number> {
    return await this.attempt(async () => this.show(await this.ask('/v1/tickets'), renderList))
  }
}

function renderList ({ tickets, store }: Awaited<ReturnType<typeof listTickets>>): string {
  const lines = tickets.map(({ number, acceptedRevision, submittedBy = '-', scopes = [] }) => {
    const state = acceptedRevision === undefined ? 'recorded' : `revision ${acceptedRevision}`
    return `${number}  ${state}  ${submittedBy}  ${scopes.join(' ')}`
  })
  return [...lines, ...(store === 'reached' ? [] : ['the object API is not available; only tickets accepted of late are listed'])].join('\n')
}

function renderTicket (ticket: TicketProgress): string {
  const domains = Object.entries(ticket.byFailureDomain).map(([domain, count]) => `  ${domain}: in force on ${count.inForceOn} of ${count.members}`)
  const lagging = ticket.lagging.map(member => `  lags: ${member.member} (${member.status}, revision ${member.revisionInForce}): ${member.why}`)
  return [
    `ticket ${ticket.number}: ${ticket.state}, in force on ${ticket.inForceOn} of ${ticket.members} members`,
    ticket.store === 'reached'
      ? `  submitted by ${ticket.submittedBy}, scopes ${ticket.scopes?.join(' ')}`
      : '  the object API is not available; shown from what is in force',
    ...Object.entries(ticket.replacedBy).map(([scope, other]) => `  ${scope}: replaced by ticket ${other}`),
    ...domains,
    ...lagging
  ].join('\n')
}
