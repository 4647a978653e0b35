import test from 'ava'
import { comparePositions } from './index.js'

test('a later era comes after any revision of an earlier one', t => {
  t.true(comparePositions({ era: 2, revision: 1 }, { era: 1, revision: 900 }) > 0)
  t.true(comparePositions({ era: 1, revision: 900 }, { era: 2, revision: 1 }) < 0)
  t.true(comparePositions({ era: 2, revision: 3 }, { era: 2, revision: 4 }) < 0)
  t.is(comparePositions({ era: 2, revision: 4 }, { era: 2, revision: 4 }), 0)
})

test('a position without an era is compared by its revision', t => {
  t.true(comparePositions({ revision: 5 }, { era: 7, revision: 4 }) > 0)
  t.true(comparePositions({ era: 7, revision: 4 }, { revision: 5 }) < 0)
  t.is(comparePositions({ revision: 5 }, { revision: 5 }), 0)
})
