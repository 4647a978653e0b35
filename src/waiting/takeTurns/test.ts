import test from 'ava'
import { takeTurns } from './index.js'

const NONE = { preferred: 0, others: 0 }

test('after the loss of a group, new requests still get every third place', t => {
  const begun = Array.from({ length: 30 }, (_, index) => `b${index}`)
  const merged = takeTurns(begun, ['n0', 'n1', 'n2'], { share: 2 / 3, assigned: NONE })
  t.is(merged.slice(0, 9).filter(name => name.startsWith('n')).length, 3)
  t.is(merged.length, 33)
})

test('a preferred request goes first, and all go while nothing else waits', t => {
  t.deepEqual(takeTurns(['b'], ['n'], { share: 2 / 3, assigned: NONE }), ['b', 'n'])
  t.deepEqual(takeTurns(['b1', 'b2'], [], { share: 2 / 3, assigned: { preferred: 50, others: 0 } }), ['b1', 'b2'])
})

test('what was assigned before counts', t => {
  t.deepEqual(takeTurns(['b'], ['n'], { share: 2 / 3, assigned: { preferred: 6, others: 1 } }), ['n', 'b'])
})
