/**
 * Fields of a schema as rows for the operators' pages.
 */
import { z } from 'zod'

/** One field. */
export interface FieldRow {
  /** Path with dots; `[]` stands for the elements of a list. */
  field: string
  type: string
  /** Default in JSON, `required` or `optional`. */
  fallback: string
}

/**
 * @name describeSchema
 * @summary Every field of an object schema, in the order of the schema.
 * @param schema - An object schema.
 * @returns A row for each field that holds a value.
 *
 * @example
 * describeSchema(z.strictObject({ host: z.string() })) // [{ field: 'host', type: 'string', fallback: 'required' }]
 */
export function describeSchema (schema: z.ZodObject): FieldRow[] {
  return Object.entries(schema.shape).flatMap(([name, field]) => describeField(name, field as z.ZodType, 'required'))
}

function describeField (path: string, schema: z.ZodType, fallback: string): FieldRow[] {
  if (schema instanceof z.ZodDefault) return describeField(path, schema.unwrap() as z.ZodType, JSON.stringify(schema.def.defaultValue))
  if (schema instanceof z.ZodPrefault) return describeField(path, schema.unwrap() as z.ZodType, 'optional')
  if (schema instanceof z.ZodOptional) return describeField(path, schema.unwrap() as z.ZodType, 'optional')
  if (schema instanceof z.ZodObject) {
    return Object.entries(schema.shape).flatMap(([name, field]) => describeField(`${path}.${name}`, field as z.ZodType, 'required'))
  }
  if (schema instanceof z.ZodArray && schema.element instanceof z.ZodObject) {
    return [{ field: path, type: 'list', fallback }, ...describeField(`${path}[]`, schema.element, 'required')]
  }
  return [{ field: path, type: nameType(schema), fallback }]
}

function nameType (schema: z.ZodType): string {
  if (schema instanceof z.ZodEnum) return schema.options.join(' or ')
  if (schema instanceof z.ZodArray) return `list of ${nameType(schema.element as z.ZodType)}`
  if (schema instanceof z.ZodUnion) return 'IP number'
  if (schema instanceof z.ZodURL) return 'URL'
  if (schema instanceof z.ZodNumber) return schema.format === 'safeint' ? 'whole number' : 'number'
  if (schema instanceof z.ZodBoolean) return 'true or false'
  return 'text'
}
