import test from 'ava'
import fc from 'fast-check'
import { applyLoads, buildEngine, buildFleet, describeEngines, TEST_MODEL } from '../../../test/fakes/buildFleet.js'
import { FEW_FAST, MANY_MIDDLE } from '../../../test/fakes/unevenFleets.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import type { EngineModel, Target } from '../../fleet/types.js'
import { choosePath } from '../../path/choosePath/index.js'
import { createLoadTracker } from '../../path/createLoadTracker/index.js'
import { chooseWidth, countConcurrentRequests } from '../_lib/engineRate.js'
import { findEngineDefect } from '../findEngineDefect/index.js'
import { planPlacement } from './index.js'

const NO_LOAD = { tokenLayers: 0, sequences: 0, firstSequences: 0 }
const SIZE = { promptTokens: 770, outputTokens: 174 }

const hasPath = (targets: readonly Target[], maxCrossings: number): boolean => choosePath(targets, SIZE, {
  model: TEST_MODEL, loadOf: () => NO_LOAD, slownessOf: () => 1, isOvercommitted: true, maxCrossings
}) !== undefined

const planAndApply = (targets: readonly Target[]): Target[] => applyLoads(targets, planPlacement(describeEngines(targets), { model: TEST_MODEL }))

test('a new fleet gets a replica in each domain and one on the fast engines', t => {
  const placed = planAndApply(buildFleet())
  for (const domain of ['north', 'east', 'south']) t.true(hasPath(placed.filter(target => target.failureDomain === domain), 0), domain)
  t.true(hasPath(placed.filter(target => target.kind === 'large' || target.kind === 'medium'), 1))
})

test('every engine of a large domain holds layers, no more than its memory', t => {
  for (const { counts, model } of [MANY_MIDDLE, FEW_FAST]) {
    const fleet = buildFleet(counts)
    const loads = planPlacement(describeEngines(fleet), { model })
    t.is(loads.length, fleet.length)
    for (const { target, range: { from, to } } of loads) t.true((to - from) * model.layerMb < model.kinds[target.kind!]!.memoryMb && to <= model.layerCount)
    t.deepEqual(planPlacement(describeEngines(applyLoads(fleet, loads)), { model }), [])
  }
})

test('paths within the domains hold nine tenths of the requests that the memory of all engines allows', async t => {
  for (const { counts, model } of [MANY_MIDDLE, FEW_FAST]) {
    const placed = applyLoads(buildFleet(counts), planPlacement(describeEngines(buildFleet(counts)), { model }))
    const layerRequests = placed.reduce((sum, target) => sum + chooseWidth(target, model) * countConcurrentRequests(target, chooseWidth(target, model), model), 0)
    let requests = 0
    for (const domain of Object.keys(counts)) requests += await fillDomain(placed.filter(target => target.failureDomain === domain), model)
    t.true(requests >= 0.9 * layerRequests / model.layerCount, `${requests} of ${layerRequests / model.layerCount}`)
  }
})

/** Number of usual requests that find a path within a failure domain, one after the other. */
async function fillDomain (targets: readonly Target[], model: EngineModel): Promise<number> {
  const size = { promptTokens: model.usualPromptTokens, outputTokens: model.usualOutputTokens }
  const runtime = createManualRuntime()
  const loads = createLoadTracker({ runtime, hostCount: () => 1 })
  // A host that has just started assumes that others send as much as it does.
  await runtime.advance(2_000)
  for (let count = 0; ; count++) {
    const chosen = choosePath(targets, size, { model, loadOf: loads.loadOf, slownessOf: () => 1, maxCrossings: 0 })
    if (chosen === undefined) return count
    loads.claim(chosen.path, size)
  }
}

test('the loss of any one engine leaves paths without a crossing', t => {
  const placed = planAndApply(buildFleet())
  for (const lost of placed) t.true(hasPath(placed.filter(target => target !== lost), 0), lost.id)
})

test('a complete placement is left alone', t => {
  const placed = planAndApply(buildFleet())
  t.deepEqual(planPlacement(describeEngines(placed), { model: TEST_MODEL }), [])
})

test('an empty engine of the domain takes the layers of a lost one', t => {
  const placed = planAndApply(buildFleet())
  const spare = buildEngine('spare', 'east', 'small')
  const lost = placed.find(target => target.failureDomain === 'east' && target.kind === 'small' && target.layers !== undefined)!
  const loads = planPlacement(describeEngines([...placed, spare], new Set([lost.id])), { model: TEST_MODEL })
  const covered = loads.filter(load => load.target.failureDomain === 'east').flatMap(load => range(load.range))
  t.deepEqual([...new Set(covered)].sort((a, b) => a - b), range(lost.layers!))
})

test('an engine whose layers all have another holder is moved where none is empty', t => {
  const engines = [
    buildEngine('a', 'north', 'small', { from: 0, to: 8 }),
    buildEngine('twin', 'north', 'small', { from: 0, to: 8 }),
    ...Array.from({ length: 8 }, (_, index) => buildEngine(`b${index}`, 'north', 'small', { from: 8 + 8 * index, to: 16 + 8 * index }))
  ]
  const [load, ...rest] = planPlacement(describeEngines(engines), { model: TEST_MODEL })
  t.deepEqual(rest, [])
  t.deepEqual(load?.range, { from: 72, to: 80 })
  t.true(load?.target.id === 'a' || load?.target.id === 'twin')
})

test('no plan gives an engine more than its memory, or moves the only holder of a layer', t => {
  fc.assert(fc.property(fc.array(fc.tuple(fc.boolean(), fc.boolean()), { minLength: 39, maxLength: 39 }), states => {
    const placed = planAndApply(buildFleet())
    const engines = placed.map((target, index) => ({ target: states[index]![1] ? { ...target, layers: undefined } : target, isLost: states[index]![0] && states[index]![1] }))
    const described = engines.map(({ target, isLost }) => ({ target: target as Target, layers: target.layers, isUsable: !isLost, isIdle: true }))
    for (const { target, range: { from, to } } of planPlacement(described, { model: TEST_MODEL })) {
      if ((to - from) * TEST_MODEL.layerMb > TEST_MODEL.kinds[target.kind!]!.memoryMb) return false
      if (target.layers === undefined) continue
      const others = described.filter(engine => engine.isUsable && engine.target.id !== target.id)
      for (let layer = target.layers.from; layer < target.layers.to; layer++) {
        if (!others.some(engine => engine.layers !== undefined && engine.layers.from <= layer && layer < engine.layers.to)) return false
      }
    }
    return true
  }), { seed: 20261204, numRuns: 60 })
  t.pass()
})

function range ({ from, to }: { from: number, to: number }): number[] {
  return Array.from({ length: to - from }, (_, index) => from + index)
}

test('several engines whose layers have other holders replace a lost group where none is empty', t => {
  const engines = [0, 1, 2].flatMap(copy => Array.from({ length: 10 }, (_, index) => buildEngine(`${copy}-${index}`, 'north', 'small', { from: 8 * index, to: 8 * index + 8 })))
  const lostIds = new Set(engines.filter(({ layers }) => layers!.from < 24).map(({ id }) => id))
  const loads = planPlacement(describeEngines(engines, lostIds), { model: TEST_MODEL })
  t.deepEqual(loads.flatMap(load => range(load.range)).sort((a, b) => a - b), range({ from: 0, to: 24 }))
  const after = applyLoads(engines.filter(({ id }) => !lostIds.has(id)), loads)
  t.true(hasPath(after, 0))
  t.deepEqual(planPlacement(describeEngines(after), { model: TEST_MODEL }), [])
})

test('an engine that joins a large domain holds layers that have lost most holders', t => {
  const left = [0, 1, 2].flatMap(copy => Array.from({ length: 10 }, (_, index) => buildEngine(`${copy}-${index}`, 'north', 'small', { from: 8 * index, to: 8 * index + 8 })))
    .filter(({ id, layers }) => id.startsWith('0') || layers!.from >= 24)
  const [load, ...rest] = planPlacement(describeEngines([...left, buildEngine('joined', 'north', 'small')]), { model: TEST_MODEL })
  t.deepEqual(rest, [])
  t.is(load?.target.id, 'joined')
  t.true(load!.range.to <= 24)
})

test('whatever engines are lost, return empty or join, plans fit the memory and come to rest without moving an engine twice', t => {
  const eventArbitrary = fc.record({ lost: fc.uniqueArray(fc.nat(92), { maxLength: 20 }), returned: fc.uniqueArray(fc.nat(92), { maxLength: 20 }) })
  fc.assert(fc.property(fc.constantFrom(MANY_MIDDLE, FEW_FAST), fc.array(eventArbitrary, { minLength: 1, maxLength: 4 }), ({ counts, model }, events) => {
    let engines: Array<Target | undefined> = buildFleet(counts)
    const all = [...engines]
    const settle = (): boolean => {
      const moved = new Set<string>()
      for (;;) {
        const present = engines.filter(engine => engine !== undefined)
        const loads = planPlacement(describeEngines(present), { model })
        if (loads.length === 0) return true
        if (loads.some(({ target, range }) => moved.has(target.id) || findEngineDefect({ ...target, layers: range }, { model }) !== undefined)) return false
        for (const { target } of loads) moved.add(target.id)
        const placed = new Map(applyLoads(present, loads).map(target => [target.id, target]))
        engines = engines.map(engine => engine === undefined ? undefined : placed.get(engine.id))
      }
    }
    return settle() && events.every(({ lost, returned }) => {
      for (const index of lost) engines[index] = undefined
      for (const index of returned) engines[index] ??= all[index]
      return settle()
    })
  }), { seed: 20261204, numRuns: 40 })
  t.pass()
})
