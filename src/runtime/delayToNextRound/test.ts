import test from 'ava'
import { delayToNextRound } from './index.js'

test('tasks that were started at different times run their next rounds together', t => {
  t.is(1_230 + delayToNextRound(100, 1_230), 1_300)
  t.is(1_210 + delayToNextRound(100, 1_210), 1_300)
})

test('a round is never followed by the next one within less than half an interval', t => {
  t.is(delayToNextRound(100, 1_299), 101)
  t.is(delayToNextRound(100, 1_300), 100)
  t.is(delayToNextRound(100, 1_249), 51)
  t.is(delayToNextRound(100, 1_251), 149)
})
