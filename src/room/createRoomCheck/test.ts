import test from 'ava'
import fc from 'fast-check'
import { buildEngine, TEST_MODEL } from '../../../test/fakes/buildFleet.js'
import { choosePath, type EngineLoad, type PathOptions } from '../../path/choosePath/index.js'
import { createRoomCheck } from './index.js'

const NO_LOAD: EngineLoad = { tokenLayers: 0, sequences: 0, firstSequences: 0 }
const ENGINES = ['north', 'south', 'east'].flatMap(domain => [...Array.from({ length: 10 }, (_, index) => buildEngine(`${domain}-${index}`, domain, 'small', { from: 8 * index, to: 8 * index + 8 })), buildEngine(`${domain}-wide`, domain, 'large', { from: 40, to: 76 })])

/** Options over loads that a test changes. */
function createOptions (loads: Map<string, EngineLoad>): PathOptions {
  return { model: TEST_MODEL, loadOf: id => loads.get(id) ?? NO_LOAD, slownessOf: () => 1 }
}

test('queued requests of a full fleet are not searched for again and again', t => {
  const loads = new Map(ENGINES.filter(engine => engine.layers!.to === 80).map(({ id }) => [id, { ...NO_LOAD, tokenLayers: 686_000 }]))
  const options = createOptions(loads)
  const roomCheck = createRoomCheck()
  let searches = 0
  for (let round = 0; round < 40; round++) {
    loads.set('north-0', { ...NO_LOAD, tokenLayers: 1_000 * round })
    for (let request = 0; request < 200; request++) {
      const size = { promptTokens: 700 + request % 20, outputTokens: 170 }
      if (!roomCheck.look('model', ENGINES, options).mayFit(size)) continue
      searches++
      t.is(choosePath(ENGINES, size, options), undefined)
    }
  }
  t.is(searches, 0)
})

test('a size for which the search failed is searched for again only after a change', t => {
  const loads = new Map<string, EngineLoad>()
  const options = createOptions(loads)
  const roomCheck = createRoomCheck()
  const size = { promptTokens: 700, outputTokens: 170 }
  roomCheck.look('model', ENGINES, options).noteFailed(size)
  t.false(roomCheck.look('model', [...ENGINES], options).mayFit(size))
  t.true(roomCheck.look('model', ENGINES, options).mayFit({ ...size, promptTokens: 600 }))
  t.true(roomCheck.look('other', ENGINES, options).mayFit(size))
  loads.set('north-0', { ...NO_LOAD, tokenLayers: 1 })
  t.true(roomCheck.look('model', ENGINES, options).mayFit(size))
  roomCheck.look('model', ENGINES, options).noteFailed(size)
  t.true(roomCheck.look('model', ENGINES.slice(1), options).mayFit(size))
})

test('what the room refuses has no path, however the load changes', t => {
  const change = fc.record({ engine: fc.nat(ENGINES.length - 1), tokenLayers: fc.integer({ min: 0, max: 700_000 }), firstSequences: fc.constantFrom(0, 134), isDown: fc.nat(9), promptTokens: fc.integer({ min: 1, max: 60_000 }) })
  let [refused, found] = [0, 0]
  fc.assert(fc.property(fc.array(change, { minLength: 20, maxLength: 60 }), changes => {
    const loads = new Map<string, EngineLoad>()
    const downIds = new Set<string>()
    const roomCheck = createRoomCheck()
    const options = { ...createOptions(loads), slownessOf: (id: string) => downIds.has(id) ? Infinity : 1 }
    return changes.every(({ engine, tokenLayers, firstSequences, isDown, promptTokens }) => {
      const { id } = ENGINES[engine]!
      loads.set(id, { tokenLayers, sequences: 10, firstSequences })
      if (isDown === 0) downIds.add(id)
      else downIds.delete(id)
      const size = { promptTokens, outputTokens: 100 }
      const room = roomCheck.look('model', ENGINES, options)
      const chosen = choosePath(ENGINES, size, options)
      if (chosen === undefined) room.noteFailed(size)
      else found++
      if (room.mayFit(size)) return true
      refused++
      return chosen === undefined && (room.mayFitWithin(size, 0.95) || choosePath(ENGINES, size, { ...options, cacheShare: 0.95 }) === undefined)
    })
  }), { seed: 20261204, numRuns: 40 })
  t.true(refused > 100 && found > 100)
})
