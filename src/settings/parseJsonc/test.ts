import test from 'ava'
import { z } from 'zod'
import { daemonSettingsSchema } from '../types.js'
import { formatFault, parseJsonc } from './index.js'

test('an unknown field names file, line and the nearest known field', t => {
  const text = '// a comment\n{\n  "hots": "entry-1",\n  "host": "entry-1"\n}'
  const result = parseJsonc(text, daemonSettingsSchema, { file: 'entry.jsonc' })
  t.is(result.kind, 'invalid')
  const lines = result.kind === 'invalid' ? result.faults.map(formatFault) : []
  t.true(lines.includes('entry.jsonc:3: hots: unknown field; did you mean "host"?'))
})

test('a syntax error names its line', t => {
  const result = parseJsonc('{\n  "host" 1\n}', daemonSettingsSchema, { file: 'entry.jsonc' })
  t.is(result.kind === 'invalid' ? result.faults[0]?.line : 0, 2)
})

test('the nearest known field is suggested inside a nullable object too', t => {
  const schema = z.strictObject({ inner: z.nullable(z.strictObject({ layers: z.int() })) })
  const result = parseJsonc('{\n"inner": {\n"layers": 1, "layer": 2 } }', schema, { file: 'f' })
  t.deepEqual(result.kind === 'invalid' ? result.faults.map(formatFault) : [], ['f:3: inner.layer: unknown field; did you mean "layers"?'])
})
