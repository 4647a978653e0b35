import test from 'ava'
import { decideAdmission } from './index.js'

const FACTS = { waitingAhead: 0, freePlaces: 0, placesPerS: 100, arrivalsPerS: 80, onTimeMs: 300, patienceMs: 1_500, isReturning: false }

test('a request with a place in sight waits', t => {
  t.deepEqual(decideAdmission({ ...FACTS, waitingAhead: 20, arrivalsPerS: 150 }), { kind: 'wait', expectedWaitMs: 200 })
  t.deepEqual(decideAdmission({ ...FACTS, waitingAhead: 500, freePlaces: 500 }), { kind: 'wait', expectedWaitMs: 0 })
  t.deepEqual(decideAdmission({ ...FACTS, placesPerS: 0 }), { kind: 'wait', expectedWaitMs: 0 })
})

test('63 hosts with three waiting each refuse on arrival while more arrives than is served', t => {
  t.is(decideAdmission({ ...FACTS, waitingAhead: 63 * 3, placesPerS: 110, arrivalsPerS: 230 }).kind, 'refuse')
})

test('a late request waits only if the queue gets shorter fast enough', t => {
  t.deepEqual(decideAdmission({ ...FACTS, waitingAhead: 60, arrivalsPerS: 40 }), { kind: 'wait', expectedWaitMs: 1_000 })
  t.is(decideAdmission({ ...FACTS, waitingAhead: 60, arrivalsPerS: 90 }).kind, 'refuse')
  t.is(decideAdmission({ ...FACTS, waitingAhead: 60, arrivalsPerS: 100 }).kind, 'refuse')
})

test('a caller that returns waits whatever arrives, but not beyond the time at which it leaves', t => {
  t.is(decideAdmission({ ...FACTS, waitingAhead: 60, arrivalsPerS: 300, onTimeMs: -900, isReturning: true }).kind, 'wait')
  t.is(decideAdmission({ ...FACTS, waitingAhead: 160, onTimeMs: -900, isReturning: true }).kind, 'refuse')
})

test('while layers are missing, requests wait as long as the gap may last, and no longer', t => {
  const lost = { ...FACTS, waitingAhead: 20, arrivalsPerS: 0 }
  t.deepEqual(decideAdmission({ ...lost, stalledMs: 400 }), { kind: 'wait', expectedWaitMs: 600 })
  t.is(decideAdmission({ ...lost, stalledMs: 1_400 }).kind, 'refuse')
})

test('a request whose caller leaves before it would be in time is refused', t => {
  t.is(decideAdmission({ ...FACTS, waitingAhead: 20, patienceMs: 100 }).kind, 'refuse')
})
