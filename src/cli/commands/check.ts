/**
 * `coltsfootlead check` and `coltsfootlead token`, which need no running system.
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

/** Sizes of random salts and secrets. */
const SALT_BYTES = 16
const SECRET_BYTES = 24

/** A kind of file that can be checked. */
export interface FileKind {
  recognizes: (value: object) => boolean
  check: (text: string, options: { file: string }) => ParseResult<unknown>
}

const TICKET_FILE: FileKind = { recognizes: value => 'scopes' in value || 'number' in value, check: checkTicketText }

const SETTINGS_FILE: FileKind = { recognizes: () => true, check: (text, options) => parseJsonc(text, daemonSettingsSchema, options) }

export class CheckCommand extends Command {
  static override paths = [['check']]
  static override usage = Command.Usage({
    description: 'Check a settings, ticket or configuration file offline.',
    details: 'The kind of the file is recognized by its fields; any other file is checked as settings of a daemon. Exit code 0: valid. 1: invalid; each fault is printed with file, line and field.'
  })

  /** Additional kinds of a subclass, tried before tickets and settings. */
  protected readonly kinds: readonly FileKind[] = []

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
    const fields = value !== null && typeof value === 'object' ? value : {}
    const kind = [...this.kinds, TICKET_FILE, SETTINGS_FILE].find(candidate => candidate.recognizes(fields))!
    return kind.check(text, { file })
  }
}

export class TokenCommand extends Command {
  static override paths = [['token']]
  static override usage = Command.Usage({
    description: 'Generate a bearer token and the salted hash of it for the configuration.'
  })

  name = Option.String()
  secret = Option.String('--secret', { description: 'Secret part of the token; random by default' })

  async execute (): Promise<number> {
    const secret = this.secret ?? randomBytes(SECRET_BYTES).toString('base64url')
    const tokenHash = hashToken(secret, randomBytes(SALT_BYTES).toString('hex'))
    this.context.stdout.write(`${JSON.stringify({ name: this.name, token: `${this.name}.${secret}`, tokenHash })}\n`)
    return EXIT.ok
  }
}
