import test from 'ava'
import { digestJson } from './index.js'

test('the order of fields and the prototype of objects do not change a digest', t => {
  const withoutPrototype = Object.assign(Object.create(null) as object, { b: [1, { d: 2, c: 3 }], a: 'x' })
  t.is(digestJson(withoutPrototype), digestJson({ a: 'x', b: [1, { c: 3, d: 2 }] }))
})
