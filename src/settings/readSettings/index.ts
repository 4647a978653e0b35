/**
 * Reads a settings file and applies overrides from the command line.
 */
import { readFile } from 'node:fs/promises'
import { applyEdits, modify } from 'jsonc-parser'
import type { z } from 'zod'
import { formatFault, parseJsonc } from '../parseJsonc/index.js'

/** Thrown for unreadable or invalid settings; the message lists every fault, one on each line. */
export class SettingsError extends Error {
  constructor (message: string) {
    super(message)
    this.name = 'SettingsError'
  }
}

/**
 * @name readSettings
 * @summary Reads a settings file and checks it against a schema.
 * @param file - Path of a file in JSON with comments.
 * @param schema - Schema of the settings.
 * @param options - `overrides`, each `path.to.field=value`, with the value in JSON or as plain text.
 * @returns The settings with defaults filled in.
 * @throws SettingsError with file, line and field of each fault.
 *
 * @example
 * const settings = await readSettings('entry.jsonc', daemonSettingsSchema, { overrides: ['ports.caller=8080'] })
 */
export async function readSettings<T> (
  file: string,
  schema: z.ZodType<T>,
  options: { overrides?: string[] } = {}
): Promise<T> {
  const original = await readText(file)
  const text = (options.overrides ?? []).reduce(applyOverride, original)
  const result = parseJsonc(text, schema, { file })
  if (result.kind === 'valid') return result.value
  throw new SettingsError(result.faults.map(formatFault).join('\n'))
}

async function readText (file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8')
  } catch (error) {
    throw new SettingsError(`${file}: cannot be read: ${(error as Error).message}`)
  }
}

function applyOverride (text: string, override: string): string {
  const separatorIndex = override.indexOf('=')
  if (separatorIndex < 1) throw new SettingsError(`--set ${override}: expected path.to.field=value`)
  const path = override.slice(0, separatorIndex).split('.')
  const edits = modify(text, path, parseValue(override.slice(separatorIndex + 1)), {})
  return applyEdits(text, edits)
}

function parseValue (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}
