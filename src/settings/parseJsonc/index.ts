/**
 * Parses JSON with comments and checks it against a zod schema. Each fault names file, line, field
 * and what was expected; the fault of an unknown field also suggests the nearest known one.
 */
import { getNodeValue, parseTree, printParseErrorCode, type ParseError } from 'jsonc-parser'
import { z } from 'zod'
import { findNearest } from '../findNearest/index.js'
import { lineAt, locateField } from '../locateField/index.js'

/** One fault in a file. */
export interface SettingsFault {
  file: string
  /** Counted from 1. */
  line: number
  /** Path of the field with dots; empty for the whole file. */
  field: string
  message: string
}

/** The checked value, or every fault found. */
export type ParseResult<T> =
  | { kind: 'valid', value: T }
  | { kind: 'invalid', faults: SettingsFault[] }

type Path = Array<string | number>

/** Schemas that only wrap another one, such as an optional field. */
const WRAPPER_SCHEMAS = [z.ZodOptional, z.ZodNullable, z.ZodDefault, z.ZodPrefault]

/**
 * @name parseJsonc
 * @summary Parses and checks JSON with comments.
 * @param text - Content of the file.
 * @param schema - Schema of the value; use strict objects to refuse unknown fields.
 * @param options - `file`, the name used in faults.
 * @returns The value, or the faults in the order of their lines.
 *
 * @example
 * const result = parseJsonc(text, schema, { file: 'entry.jsonc' })
 * if (result.kind === 'invalid') console.error(result.faults.map(formatFault))
 */
export function parseJsonc<T> (
  text: string,
  schema: z.ZodType<T>,
  options: { file: string }
): ParseResult<T> {
  const { file } = options
  const errors: ParseError[] = []
  const root = parseTree(text, errors, { allowTrailingComma: true })
  if (errors.length > 0 || root === undefined) {
    return { kind: 'invalid', faults: describeSyntaxErrors(errors, text, file) }
  }
  const checked = schema.safeParse(getNodeValue(root))
  if (checked.success) return { kind: 'valid', value: checked.data }
  const faults = checked.error.issues
    .flatMap(issue => describeIssue(issue, schema, { text, file }))
    .sort((a, b) => a.line - b.line)
  return { kind: 'invalid', faults }
}

/**
 * @name formatFault
 * @summary Formats a fault as one line of text.
 * @param fault - The fault.
 * @returns `file:line: field: message`.
 *
 * @example
 * formatFault({ file: 'a.jsonc', line: 3, field: 'host', message: 'expected string' })
 */
export function formatFault (fault: SettingsFault): string {
  const field = fault.field === '' ? '' : `${fault.field}: `
  return `${fault.file}:${fault.line}: ${field}${fault.message}`
}

function describeSyntaxErrors (errors: ParseError[], text: string, file: string): SettingsFault[] {
  if (errors.length === 0) return [{ file, line: 1, field: '', message: 'the file is empty' }]
  return errors.map(error => ({
    file,
    line: lineAt(text, error.offset),
    field: '',
    message: `not JSON with comments: ${printParseErrorCode(error.error)}`
  }))
}

interface Source { text: string, file: string }

function describeIssue (issue: z.core.$ZodIssue, schema: z.ZodType, source: Source): SettingsFault[] {
  const path = issue.path as Path
  if (issue.code !== 'unrecognized_keys') return [faultAt(path, issue.message, source)]
  const known = knownKeysAt(schema, path)
  return issue.keys.map(key => {
    const nearest = findNearest(key, known)
    const hint = nearest === undefined ? '' : `; did you mean "${nearest}"?`
    return faultAt([...path, key], `unknown field${hint}`, source)
  })
}

function faultAt (path: Path, message: string, source: Source): SettingsFault {
  return {
    file: source.file,
    line: locateField(source.text, path),
    field: path.join('.'),
    message
  }
}

/** Keys that the schema allows at a path; empty when there is no object schema at the path. */
function knownKeysAt (schema: z.ZodType, path: Path): string[] {
  let current: unknown = schema
  for (const key of path) current = childSchema(unwrap(current), key)
  const object = unwrap(current)
  return object instanceof z.ZodObject ? Object.keys(object.shape) : []
}

function childSchema (schema: unknown, key: string | number): unknown {
  if (schema instanceof z.ZodObject) return schema.shape[key]
  if (schema instanceof z.ZodArray) return schema.element
  if (schema instanceof z.ZodRecord) return schema.valueType
  return undefined
}

function unwrap (schema: unknown): unknown {
  let inner = schema
  while (WRAPPER_SCHEMAS.some(wrapper => inner instanceof wrapper)) {
    inner = (inner as z.ZodOptional).unwrap()
  }
  return inner
}
