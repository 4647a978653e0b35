import test from 'ava'
import { buildEngine, TEST_MODEL } from '../../../test/fakes/buildFleet.js'
import { describePlacement } from './index.js'

test('a failure domain is described by its ranges, its narrowest layers and its engines', t => {
  const targets = [
    buildEngine('a', 'north', 'large', { from: 0, to: 30 }),
    buildEngine('b', 'north', 'large', { from: 0, to: 30 }),
    buildEngine('c', 'north', 'large', { from: 30, to: 60 }),
    buildEngine('down', 'north', 'large', { from: 60, to: 80 }),
    { ...buildEngine('leaving', 'north', 'small', { from: 72, to: 80 }), isLeaving: true },
    buildEngine('odd', 'north', 'unheard-of', { from: 60, to: 80 }),
    buildEngine('empty', 'east', 'small')
  ]
  const [east, north] = describePlacement(targets, { model: TEST_MODEL, isUsable: id => id !== 'down' })
  t.deepEqual(east?.engines, { holding: 0, empty: 1, leaving: 0, leftOut: 0, unusable: 0 })
  t.deepEqual(north?.engines, { holding: 3, empty: 0, leaving: 1, leftOut: 1, unusable: 1 })
  t.deepEqual(north?.ranges, [{ from: 0, to: 30, holders: { large: 2 } }, { from: 30, to: 60, holders: { large: 1 } }])
  t.is(north?.requestsPerSecond, 0)
  t.deepEqual(north?.narrowest, { from: 60, to: 80 })
})
