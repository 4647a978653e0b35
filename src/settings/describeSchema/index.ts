/**
 * Lists the fields of a zod schema as rows for the tables of the operators' documentation.
 */
import { z } from 'zod'

/** One row of such a table. */
export interface FieldRow {
  /** Path with dots; `[]` stands for the elements of a list. */
  field: string
  type: string
  /** Default in JSON, `required` or `optional`. */
  defaultText: string
}

/**
 * @name describeSchema
 * @summary Every field of an object schema, in the order of the schema.
 * @param schema - An object schema.
 * @returns A row for each field that is not itself an object; a list of objects has a row of its own and one for each field of its elements.
 *
 * @example
 * describeSchema(z.strictObject({ host: z.string() })) // [{ field: 'host', type: 'string', defaultText: 'required' }]
 */
export function describeSchema (schema: z.ZodObject): FieldRow[] {
  return Object.entries(schema.shape).flatMap(([name, field]) => describeField(name, field as z.ZodType, 'required'))
}

function describeField (path: string, schema: z.ZodType, defaultText: string): FieldRow[] {
  if (schema instanceof z.ZodDefault) return describeField(path, schema.unwrap() as z.ZodType, JSON.stringify(schema.def.defaultValue))
  if (schema instanceof z.ZodPrefault) return describeField(path, schema.unwrap() as z.ZodType, 'optional')
  if (schema instanceof z.ZodOptional) return describeField(path, schema.unwrap() as z.ZodType, 'optional')
  if (schema instanceof z.ZodObject) {
    return Object.entries(schema.shape).flatMap(([name, field]) => describeField(`${path}.${name}`, field as z.ZodType, 'required'))
  }
  if (schema instanceof z.ZodArray && schema.element instanceof z.ZodObject) {
    return [{ field: path, type: 'list', defaultText }, ...describeField(`${path}[]`, schema.element, 'required')]
  }
  return [{ field: path, type: describeType(schema), defaultText }]
}

function describeType (schema: z.ZodType): string {
  if (schema instanceof z.ZodEnum) return schema.options.join(' or ')
  if (schema instanceof z.ZodArray) return `list of ${describeType(schema.element as z.ZodType)}`
  if (schema instanceof z.ZodUnion) return 'IP address'
  if (schema instanceof z.ZodURL) return 'URL'
  if (schema instanceof z.ZodNumber) return schema.format === 'safeint' ? 'whole number' : 'number'
  if (schema instanceof z.ZodBoolean) return 'true or false'
  return 'text'
}
