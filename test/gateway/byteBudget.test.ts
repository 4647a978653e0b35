import test from 'ava'
import { createByteBudget } from '../../src/gateway/_lib/createByteBudget.js'

test('answers share what they hold beyond their allowance', t => {
  const budget = createByteBudget({ allowanceBytes: 10, sharedBytes: 100 })
  const [first, second] = [budget.claim(), budget.claim()]
  t.true(first.tryGrow(110))
  t.false(first.tryGrow(1))
  t.true(second.tryGrow(10))
  t.false(second.tryGrow(1))
  first[Symbol.dispose]()
  t.true(second.tryGrow(100))
  second[Symbol.dispose]()
  second[Symbol.dispose]()
  using third = budget.claim()
  t.true(third.tryGrow(110))
  t.false(third.tryGrow(1))
})
