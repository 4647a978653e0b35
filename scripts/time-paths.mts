/**
 * Measures the processor time of a choice of a path on fleets of 98 and 221 engines, some and all of them full.
 *
 * Usage: npx tsx scripts/time-paths.mts [CHECKOUT...]: one row for each checkout, this one by default.
 */
import { resolve } from 'node:path'
import { buildEngine, describeEngines, TEST_MODEL } from '../test/fakes/buildFleet.js'
import type { Target } from '../src/fleet/types.js'
import type { EngineLoad, PathOptions } from '../src/path/choosePath/index.js'
import { planPlacement } from '../src/placement/planPlacement/index.js'

const COUNTS = { north: { large: 1, medium: 2, small: 13, tiny: 18 }, east: { large: 1, medium: 2, small: 20, tiny: 9 }, south: { medium: 4, small: 11, tiny: 17 } }
const ROUNDS = 300
const SIZE = { promptTokens: 770, outputTokens: 174 }

/** A number from 0 to below 1 that depends on the text alone. */
function draw (text: string): number {
  let hash = 2_166_136_261
  for (const character of text) hash = Math.imul(hash ^ character.charCodeAt(0), 16_777_619) >>> 0
  return (Math.imul(hash ^ hash >>> 15, 2_246_822_519) >>> 0) / 2 ** 32
}

function buildFleet (factor: number): Target[] {
  const engines = Object.entries(COUNTS).flatMap(([domain, kinds]) => Object.entries(kinds).flatMap(([kind, count]) =>
    Array.from({ length: Math.round(count * factor) }, (_, index) => buildEngine(`${domain}-${kind}-${index}`, domain, kind))))
  let placed = engines
  for (let round = 0; round < 20; round++) {
    const ranges = new Map(planPlacement(describeEngines(placed), { model: TEST_MODEL }).map(load => [load.target.id, load.range]))
    if (ranges.size === 0) break
    placed = placed.map(engine => ({ ...engine, layers: ranges.get(engine.id) ?? engine.layers }))
  }
  return placed
}

/** Processor time of one run, in microseconds. */
function time (run: () => unknown): number {
  for (let round = 0; round < ROUNDS; round++) run()
  const start = process.cpuUsage()
  for (let round = 0; round < ROUNDS; round++) run()
  return process.cpuUsage(start).user / ROUNDS
}

const checkouts = process.argv.length > 2 ? process.argv.slice(2) : ['.']
for (const checkout of checkouts) {
  const { choosePath } = await import(resolve(checkout, 'src/path/choosePath/index.ts')) as typeof import('../src/path/choosePath/index.js')
  const { computeCacheTokenLayers } = await import(resolve(checkout, 'src/path/_lib/stageCost.ts')) as typeof import('../src/path/_lib/stageCost.js')
  for (const factor of [1, 2.25]) {
    const engines = buildFleet(factor)
    const loadsAt = (fill: (id: string) => number): PathOptions['loadOf'] => {
      const loads = new Map(engines.map(engine => [engine.id, { tokenLayers: fill(engine.id) * computeCacheTokenLayers(engine, (engine.layers?.to ?? 0) - (engine.layers?.from ?? 0), TEST_MODEL), sequences: 20, firstSequences: 5 }]))
      const none: EngineLoad = { tokenLayers: 0, sequences: 0, firstSequences: 0 }
      return id => loads.get(id) ?? none
    }
    const cases: Array<[string, PathOptions['loadOf']]> = [['idle', loadsAt(() => 0)], ['half of them full', loadsAt(id => draw(id) < 0.5 ? 0.97 : 0.5)], ['first layers full', loadsAt(id => engines.find(engine => engine.id === id)?.layers?.from === 0 ? 0.97 : 0.4)], ['last layers full', loadsAt(id => engines.find(engine => engine.id === id)?.layers?.to === TEST_MODEL.layerCount ? 0.97 : 0.4)]]
    for (const [name, loadOf] of cases) {
      const options: PathOptions = { model: TEST_MODEL, loadOf, slownessOf: () => 1, ownDomain: 'north' }
      const chosen = choosePath(engines, SIZE, options)
      const us = time(() => choosePath(engines, SIZE, options))
      console.log(JSON.stringify({ checkout, engines: engines.length, holding: engines.filter(engine => engine.layers !== undefined).length, case: name, stages: chosen?.path.length ?? 0, expectedMs: chosen === undefined ? undefined : Math.round(chosen.expectedMs), usPerChoice: Math.round(us) }))
    }
  }
}
