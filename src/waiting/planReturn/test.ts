import fc from 'fast-check'
import test from 'ava'
import { planReturn, type ReturnFacts } from './index.js'

const FACTS: ReturnFacts = { leftMs: 19_000, peakLeftMs: 0, expectedWaitMs: 400, placesPerS: 120, hostCount: 30, lastReturnMs: -Infinity, random: 0.5 }

test('callers return after the peak', t => {
  t.deepEqual(planReturn({ ...FACTS, peakLeftMs: 4_200 }), { retryAfterMs: 4_200, isSlot: true })
  t.deepEqual(planReturn(FACTS), { retryAfterMs: 1_000, isSlot: true })
})

test('callers refused together return one after the other, all hosts together within their part of the places', t => {
  const dueMs: number[] = []
  for (let refused = 0; refused < 5; refused++) dueMs.push(planReturn({ ...FACTS, lastReturnMs: dueMs.at(-1) ?? -Infinity }).retryAfterMs)
  t.deepEqual(dueMs, [1_000, 2_000, 3_000, 4_000, 5_000])
})

test('no caller is told more than it honors', t => {
  fc.assert(fc.property(fc.record({ leftMs: fc.integer({ min: -1_000, max: 10_000_000 }), peakLeftMs: fc.nat(60_000), expectedWaitMs: fc.oneof(fc.nat(60_000), fc.constant(Infinity)), placesPerS: fc.nat(5_000), hostCount: fc.integer({ min: 1, max: 600 }), lastReturnMs: fc.oneof(fc.integer({ min: -5_000, max: 60_000 }), fc.constant(-Infinity)), random: fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true }) }), facts => {
    const { retryAfterMs } = planReturn(facts)
    return Number.isFinite(retryAfterMs) && retryAfterMs >= 0 && retryAfterMs <= Math.max(0, facts.leftMs) / 3 + 1
  }))
  t.pass()
})

test('callers for whom no room is foreseen are spread over the end of their time', t => {
  const at = (random: number) => planReturn({ ...FACTS, lastReturnMs: 20_000, random })
  t.deepEqual(at(0), { retryAfterMs: 6_333, isSlot: false })
  t.true(at(0.9).retryAfterMs < 4_300)
})
