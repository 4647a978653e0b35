import test from 'ava'
import { summarizeRoom } from './index.js'

const FACTS = { freePlaces: 0, totalPlaces: 100, ageMs: 120, hostCount: 63, isCutOff: false }
const FIGURES = { waiting: 0, waitingHosts: 0, promised: 0, arrivalsPerS: 0, placesPerS: 0 }

test('ranks are added up, most urgent first', t => {
  const { room, ranks } = summarizeRoom([{ ...FIGURES, rank: 2, waiting: 90, placesPerS: 20 }, { ...FIGURES, rank: 0, waiting: 6, placesPerS: 70 }], FACTS)
  t.is(room.placesPerS, 90)
  t.deepEqual([...room.waitingByRank], [[0, 6], [2, 90]])
  t.deepEqual(ranks.map(({ rank }) => rank), [0, 2])
  t.is(room.ageMs, 120)
})

test('a host that hears no other one knows that it does not know', t => {
  t.is(summarizeRoom([], { ...FACTS, isCutOff: true }).room.ageMs, Infinity)
})

test('absurd sums are clamped', t => {
  const { ranks: [figures] } = summarizeRoom([{ ...FIGURES, rank: 1, waiting: 1e15, arrivalsPerS: NaN, placesPerS: -4 }], FACTS)
  t.like(figures, { waiting: 100_000, arrivalsPerS: 0, placesPerS: 0 })
})
