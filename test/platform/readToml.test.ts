import test from 'ava'
import { readToml } from '../../platform/readToml/index.js'

test('tables, arrays of tables, inline tables and lists over lines', t => {
  const text = '# site\nname = "a \\"b\\""\n[net]\nin_zone_ms = 0.1 # one way\n\n[[day]]\nlists = [\n  { x = 1e3, on = true }, # first\n  { y.z = -2 },\n]\n[[day]]\nnone = []\n'
  t.deepEqual(readToml(text), { name: 'a "b"', net: { in_zone_ms: 0.1 }, day: [{ lists: [{ x: 1_000, on: true }, { y: { z: -2 } }] }, { none: [] }] })
})

for (const [name, text, message] of [
  ['a list that is cut', 'a = [1, 2', 'line 1: , expected'],
  ['a key twice', 'a = 1\na = 2', 'line 2: a appears twice'],
  ['a date', '\na = 2024-01-01', 'line 2: 2024-01-01 cannot be read'],
  ['a key without value', 'a =\n', 'line 1: a value expected'],
  ['two values', 'a = 1 2', 'line 1: more than one value'],
  ['a header of a value', 'a = 1\n[a]', 'line 2: a is no table']
] as const) {
  test(`${name} is refused with its line`, t => {
    t.throws(() => readToml(text), { message })
  })
}
