/**
 * `coltsfootlead check` and `coltsfootlead token`: work without a running system.
 */
import { randomBytes } from 'node:crypto'
import { readFile } from 'node:fs/promises'
import { Command, Option } from 'clipanion'
import { parse } from 'jsonc-parser'
import { hashToken } from '../../account/hashToken/index.js'
import { formatFault, parseJsonc, type ParseResult } from '../../settings/parseJsonc/index.js'
import { daemonSettingsSchema } from '../../settings/types.js'
import { checkTicketText } from '../../ticket/checkTicketText/index.js'
import { EXIT } from '../_lib/operatorCommand.js'

/** Size of salts and secrets. */
const SALT_BYTES = 16
const SECRET_BYTES = 24

export class CheckCommand extends Command {
  static override paths = [['check']]
  static override usage = Command.Usage({
    description: 'Check a settings or ticket file offline.',
    details: 'A file with "scopes" is taken for a ticket, any other for settings. Exit code 0: it holds. 1: it does not; each fault is printed with file, line and field.'
  })

  file = Option.String()
  json = Option.Boolean('--json', false, { description: 'Print the faults as JSON' })

  async execute (): Promise<number> {
    const result = await this.check()
    if (this.json) this.context.stdout.write(`${JSON.stringify(result.kind === 'valid' ? { faults: [] } : { faults: result.faults })}\n`)
    if (result.kind === 'valid') {
      if (!this.json) this.context.stdout.write(`${this.file}: ok\n`)
      return EXIT.ok
    }
    if (!this.json) for (const fault of result.faults) this.context.stderr.write(`${formatFault(fault)}\n`)
    return EXIT.refused
  }

  private async check (): Promise<ParseResult<unknown>> {
    const { file } = this
    let text: string
    try {
      text = await readFile(file, 'utf8')
    } catch (error) {
      return { kind: 'invalid', faults: [{ file, line: 1, field: '', message: `cannot be read: ${(error as Error).message}` }] }
    }
    const value = parse(text) as unknown
    const isTicket = value !== null && typeof value === 'object' && ('scopes' in value || 'number' in value)
    return isTicket ? checkTicketText(text, { file }) : parseJsonc(text, daemonSettingsSchema, { file })
  }
}

export class TokenCommand extends Command {
  static override paths = [['token']]
  static override usage = Command.Usage({
    description: 'Make a bearer token and the salted hash that configuration keeps of it.'
  })

  name = Option.String()
  secret = Option.String('--secret', { description: 'Secret part; a random one unless given' })

  async execute (): Promise<number> {
    const secret = this.secret ?? randomBytes(SECRET_BYTES).toString('base64url')
    const tokenHash = hashToken(secret, randomBytes(SALT_BYTES).toString('hex'))
    this.context.stdout.write(`${JSON.stringify({ name: this.name, token: `${this.name}.${secret}`, tokenHash })}\n`)
    return EXIT.ok
  }
}
