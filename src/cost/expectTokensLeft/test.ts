import test from 'ava'
import { expectTokensLeft } from './index.js'

const HEAVY = { outputTokens: 170, highOutputTokens: 400 }

test('nothing made yet: the estimate, within the maximum', t => {
  t.is(expectTokensLeft(HEAVY, 0), 170)
  t.is(expectTokensLeft(HEAVY, 0, 90), 90)
  t.is(expectTokensLeft({ outputTokens: 0, highOutputTokens: 0 }, 0), 0)
})

test('a stream that outlives its estimate is expected anew, under a heavy tail with more left than before', t => {
  const left = [170, 400, 1_000, 100_000].map(made => expectTokensLeft(HEAVY, made))
  t.true(left.every(tokens => Number.isFinite(tokens) && tokens > 0))
  t.true(left[1]! > left[0]! && left[2]! > left[1]!, String(left))
})

test('where lengths hardly differ, what was made is subtracted', t => {
  const narrow = { outputTokens: 170, highOutputTokens: 180 }
  t.true(Math.abs(expectTokensLeft(narrow, 85) - 85) < 2)
  t.true(expectTokensLeft(narrow, 200) < 10)
})

test('the maximum bounds what is left', t => {
  t.is(expectTokensLeft(HEAVY, 600, 600), 0)
  t.true(expectTokensLeft(HEAVY, 590, 600) <= 10)
})
