/**
 * The tables of the operators' pages, worked out from the code that they describe.
 */
import { EVENTS } from '../../src/event/catalogue.js'
import { describeSchema } from '../../src/settings/describeSchema/index.js'
import { daemonSettingsSchema } from '../../src/settings/types.js'
import { SCOPE_SCHEMAS } from '../../src/ticket/types.js'
import { REASONS } from '../../src/verdict/reasons.js'

/** Tables by the name in their markers. */
export function renderTables (): Record<string, string> {
  const scopes = Object.entries(SCOPE_SCHEMAS).map(([kind, { schema, requiresName }]) => [`scope:${kind}`, renderFields(schema, requiresName ? `${kind}/<name>` : kind)] as const)
  return {
    settings: renderFields(daemonSettingsSchema, 'field'),
    ...Object.fromEntries(scopes),
    reasons: renderReasons()
  }
}

/** The page of events. */
export function renderEvents (): string {
  const rows = Object.entries(EVENTS)
    .sort(([, a], [, b]) => a.number - b.number)
    .map(([name, event]) => `| ${event.number} | ${name} | ${event.level} | ${event.text} |`)
  return [
    '# Events', '',
    'Every event that a process logs, by number. A test checks this page against `src/event/catalogue.ts`.', '',
    '| number | name | level | text |', '|---|---|---|---|', ...rows, ''
  ].join('\n')
}

/** A page with the text between each pair of markers replaced. */
export function replaceTables (page: string, tables: Record<string, string>): string {
  return Object.entries(tables).reduce((text, [name, table]) => {
    const pattern = new RegExp(`(<!-- ${name} -->\n)[^]*?(<!-- /${name} -->)`)
    return text.replace(pattern, (_match, open: string, close: string) => `${open}${table}\n${close}`)
  }, page)
}

function renderFields (schema: Parameters<typeof describeSchema>[0], heading: string): string {
  const rows = describeSchema(schema).map(({ field, type, fallback }) => `| \`${field}\` | ${type} | ${fallback === 'required' || fallback === 'optional' ? fallback : `\`${fallback}\``} |`)
  return [`| ${heading} | type | default |`, '|---|---|---|', ...rows].join('\n')
}

function renderReasons (): string {
  const rows = Object.entries(REASONS)
    .sort(([, a], [, b]) => a.number - b.number)
    .map(([name, reason]) => `| ${reason.number} | ${name} | ${reason.status} | ${reason.title} |`)
  return ['| number | name | HTTP status | meaning |', '|---|---|---|---|', ...rows].join('\n')
}
