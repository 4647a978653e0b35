import test from 'ava'
import fc from 'fast-check'
import { parseReadableJson } from '../../platform/parseReadableJson/index.js'

test('a JSON text is parsed as usual', t => {
  fc.assert(fc.property(fc.json(), text => { t.deepEqual(parseReadableJson(text), JSON.parse(text)) }), { seed: 3 })
})

test('values that cannot be read are left out, and the others kept', t => {
  t.deepEqual(parseReadableJson('{"items":[1,Infinity,3]}'), { items: [1, undefined, 3] })
  const items = [{ metadata: { name: 'a,"]}' }, spec: { slots: 4 } }, { metadata: { name: 'b' }, spec: 'HERE' }, { metadata: { name: 'c' }, spec: [] }]
  for (const odd of ['NaN', '-Infinity', '{"slots":Infinity}', '{"a":01}', '"\u0000"', '[[[[[[nul]]]]]]', '\\x', '']) {
    const text = JSON.stringify({ items, as_of: 7 }).replace('"HERE"', () => odd)
    const { items: [first, second, third], as_of: revision } = parseReadableJson(text) as { items: unknown[], as_of: number }
    t.deepEqual([first, third, revision], [items[0], items[2], 7], odd)
    t.like(second, { metadata: { name: 'b' } }, odd)
  }
})

test('a text that is truncated or no container cannot be read', t => {
  for (const text of ['', 'Infinity', '{"items":[1', '{"items":[1]', '{"items":"', '{}{}', '[1]]', 'x{}']) t.throws(() => parseReadableJson(text), { instanceOf: SyntaxError }, text)
})

test('deep nesting needs no deep stack', t => {
  const deep = `${'['.repeat(200_000)}NaN${']'.repeat(200_000)}`
  t.like(parseReadableJson(`{"items":[1,${deep}],"as_of":3}`), { as_of: 3 })
})
