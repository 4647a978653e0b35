import test from 'ava'
import fc from 'fast-check'
import { buildEngine, TEST_MODEL } from '../../../test/fakes/buildFleet.js'
import { choosePath, type EngineLoad, type PathOptions } from '../../path/choosePath/index.js'
import { computeRoom } from './index.js'

const NO_LOAD: EngineLoad = { tokenLayers: 0, sequences: 0, firstSequences: 0 }
const OPTIONS: PathOptions = { model: TEST_MODEL, loadOf: () => NO_LOAD, slownessOf: () => 1 }
const USUAL = { promptTokens: TEST_MODEL.usualPromptTokens, outputTokens: TEST_MODEL.usualOutputTokens }

/** Most tens of layers that leave an engine room for requests. */
const MOST_TENS: Record<string, number> = { large: 4, medium: 2, small: 1 }

/** Engines with ranges that begin and end at multiples of ten layers, with a load each. */
const fleets = fc.array(fc.record({
  domain: fc.constantFrom('north', 'south', 'east'),
  kind: fc.constantFrom('large', 'medium', 'small'),
  from: fc.integer({ min: 0, max: 7 }),
  count: fc.integer({ min: 1, max: 4 }),
  fill: fc.double({ min: 0, max: 1, noNaN: true }),
  isDown: fc.nat(9)
}), { minLength: 8, maxLength: 40 }).map(descriptions => {
  const engines = descriptions.map(({ domain, kind, from, count }, index) => buildEngine(`e${index}`, domain, kind, { from: from * 10, to: Math.min(80, (from + Math.min(count, MOST_TENS[kind]!)) * 10) }))
  const loads = new Map(descriptions.map(({ fill }, index) => [`e${index}`, { tokenLayers: Math.round(fill ** 2 * 400_000), sequences: 10, firstSequences: Math.round(fill * 140) }]))
  return { engines, options: { ...OPTIONS, loadOf: (id: string) => loads.get(id) ?? NO_LOAD, slownessOf: (id: string) => descriptions[Number(id.slice(1))]!.isDown === 0 ? Infinity : 1 } }
})

test('no path is found for a request that is larger than the room', t => {
  let [refused, found] = [0, 0]
  fc.assert(fc.property(fleets, fc.integer({ min: 1, max: 20_000 }), fc.integer({ min: 0, max: 3 }), ({ engines, options }, promptTokens, maxCrossings) => {
    const { largestTokens } = computeRoom(engines, { ...options, maxCrossings })
    const chosen = choosePath(engines, { promptTokens, outputTokens: 100 }, { ...options, maxCrossings })
    if (promptTokens + 100 > largestTokens * (1 + 1e-9)) refused++
    if (chosen !== undefined) found++
    return chosen === undefined || promptTokens + 100 <= largestTokens * (1 + 1e-9)
  }), { seed: 20261204, numRuns: 500 })
  t.true(refused > 50)
  t.true(found > 50)
})

test('a path is found for a request of the largest size where engines are not shared', t => {
  const engines = [buildEngine('low', 'north', 'large', { from: 0, to: 20 }), buildEngine('mid', 'north', 'large', { from: 20, to: 50 }), buildEngine('high', 'south', 'large', { from: 50, to: 80 })]
  const tokens = Math.floor(computeRoom(engines, { ...OPTIONS, model: { ...TEST_MODEL, pipeMbps: 1e9 } }).largestTokens)
  t.truthy(choosePath(engines, { promptTokens: tokens - 100, outputTokens: 100 }, { ...OPTIONS, model: { ...TEST_MODEL, pipeMbps: 1e9 } }))
  t.is(choosePath(engines, { promptTokens: tokens, outputTokens: 100 }, { ...OPTIONS, model: { ...TEST_MODEL, pipeMbps: 1e9 } }), undefined)
})

test('no more requests of usual size get a path than there are free places', t => {
  let sum = 0
  fc.assert(fc.property(fleets, ({ engines, options }) => {
    const loads = new Map(engines.map(({ id }) => [id, { ...options.loadOf(id) }]))
    const loaded = { ...options, loadOf: (id: string) => loads.get(id) ?? NO_LOAD }
    const { freePlaces, totalPlaces } = computeRoom(engines, loaded)
    let placed = 0
    for (let chosen = choosePath(engines, USUAL, loaded); chosen !== undefined; chosen = choosePath(engines, USUAL, loaded)) {
      for (const { target, from, to } of chosen.path) loads.get(target.id)!.tokenLayers += (USUAL.promptTokens + USUAL.outputTokens) * (to - from)
      loads.get(chosen.path[0]!.target.id)!.firstSequences++
      placed++
    }
    sum += placed
    return placed <= freePlaces && freePlaces <= totalPlaces
  }), { seed: 20261204, numRuns: 60 })
  t.true(sum > 100)
})

test('an engine whose layers lie outside of the model adds no room', t => {
  const engines = [...['e0', 'e1'].map(id => buildEngine(id, 'north', 'large', { from: 0, to: 40 })), buildEngine('e2', 'north', 'large', { from: 40, to: 80 })]
  const odd = buildEngine('odd', 'north', 'large', { from: 60, to: 90 })
  t.deepEqual(computeRoom([...engines, odd], OPTIONS), computeRoom(engines, OPTIONS))
})

test('the narrowest layers bound the places', t => {
  const engines = [buildEngine('a', 'north', 'large', { from: 0, to: 40 }), buildEngine('b', 'north', 'large', { from: 40, to: 80 }), buildEngine('c', 'north', 'large', { from: 0, to: 40 })]
  const one = computeRoom([engines[0]!, engines[1]!], { ...OPTIONS, model: { ...TEST_MODEL, slots: 1_000 } })
  const two = computeRoom(engines, { ...OPTIONS, model: { ...TEST_MODEL, slots: 1_000 } })
  t.true(one.totalPlaces > 0)
  t.is(two.totalPlaces, one.totalPlaces)
  t.is(computeRoom([engines[0]!], OPTIONS).totalPlaces, 0)
  t.is(computeRoom(engines, { ...OPTIONS, mayBeFirst: () => false }).freePlaces, 0)
})
