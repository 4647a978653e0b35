import test from 'ava'
import { estimatePeakEnd } from './index.js'

test('without an excess nothing has to pass', t => {
  t.is(estimatePeakEnd({ durationsMs: [5_000], ageMs: undefined }), 0)
})

test('a peak lasts as long as those before it that outlasted its age', t => {
  t.is(estimatePeakEnd({ durationsMs: [5_000, 6_000, 500], ageMs: 1_500 }), 4_000)
})

test('a first peak, or one longer than any before, goes on for as long as it has lasted', t => {
  t.is(estimatePeakEnd({ durationsMs: [], ageMs: 800 }), 800)
  t.is(estimatePeakEnd({ durationsMs: [2_000], ageMs: 3_000 }), 3_000)
})
