import test from 'ava'
import fc from 'fast-check'
import { buildEngine, TEST_MODEL } from '../../../test/fakes/buildFleet.js'
import type { Target } from '../../fleet/types.js'
import { estimateCrossingMs, linkKey } from '../_lib/linkCost.js'
import { createCandidate, estimateStageMs, type Candidate } from '../_lib/stageCost.js'
import { choosePath, type EngineLoad, type PathOptions } from './index.js'

const NO_LOAD: EngineLoad = { tokenLayers: 0, sequences: 0, firstSequences: 0 }
const SIZE = { promptTokens: 770, outputTokens: 174 }
const OPTIONS: PathOptions = { model: TEST_MODEL, loadOf: () => NO_LOAD, slownessOf: () => 1 }

const halves = (domain: string, kind = 'large') => [
  buildEngine(`${domain}-low`, domain, kind, { from: 0, to: 40 }),
  buildEngine(`${domain}-high`, domain, kind, { from: 40, to: 80 })
]
const describePath = (path: ReturnType<typeof choosePath>): string | undefined => path?.path.map(stage => `${stage.target.id}:${stage.from}-${stage.to}`).join(' ')

test('a path stays in one failure domain where it can', t => {
  t.is(describePath(choosePath([...halves('north'), ...halves('south')], SIZE, { ...OPTIONS, ownDomain: 'south' })), 'south-low:0-40 south-high:40-80')
})

test('a path avoids a dead engine over the link between domains', t => {
  const engines = [...halves('north'), ...halves('south')]
  const slownessOf = (id: string): number => id === 'north-high' || id === 'south-low' ? Infinity : 1
  t.is(describePath(choosePath(engines, SIZE, { ...OPTIONS, slownessOf })), 'north-low:0-40 south-high:40-80')
  t.is(choosePath(engines, SIZE, { ...OPTIONS, slownessOf, maxCrossings: 0 }), undefined)
})

test('a full link is not used unless overcommitted', t => {
  const engines = [halves('north')[0]!, halves('south')[1]!]
  const loadOf = (id: string): EngineLoad => id === linkKey('north', 'south') ? { ...NO_LOAD, tokenLayers: 20_000 } : NO_LOAD
  t.is(choosePath(engines, SIZE, { ...OPTIONS, loadOf }), undefined)
  t.truthy(choosePath(engines, SIZE, { ...OPTIONS, loadOf, isOvercommitted: true }))
})

test('a busy link makes slower engines of the domain the better choice', t => {
  const engines = [halves('north')[0]!, halves('south')[1]!, buildEngine('north-slow', 'north', 'medium', { from: 40, to: 60 }), buildEngine('north-slower', 'north', 'small', { from: 60, to: 70 }), buildEngine('north-slowest', 'north', 'small', { from: 70, to: 80 })]
  t.is(describePath(choosePath(engines, SIZE, OPTIONS)), 'north-low:0-40 south-high:40-80')
  const loadOf = (id: string): EngineLoad => id.startsWith('link') ? { ...NO_LOAD, tokenLayers: 6_500 } : NO_LOAD
  t.is(describePath(choosePath(engines, SIZE, { ...OPTIONS, loadOf })), 'north-low:0-40 north-slow:40-60 north-slower:60-70 north-slowest:70-80')
})

test('no path leads over full engines', t => {
  const loadOf = (): EngineLoad => ({ tokenLayers: 5_000_000, sequences: 100, firstSequences: 0 })
  t.is(choosePath(halves('north'), SIZE, { ...OPTIONS, loadOf }), undefined)
})

test('no path leads over an engine whose layers lie outside of the model', t => {
  const odd = buildEngine('odd', 'north', 'large', { from: 60, to: 85 })
  t.is(describePath(choosePath([...halves('north'), odd], SIZE, { ...OPTIONS, slownessOf: id => id === 'odd' ? 1 : 9 })), 'north-low:0-40 north-high:40-80')
})

test('a new path of a request in progress keeps its first stage', t => {
  const first = { target: buildEngine('old', 'north', 'large', { from: 0, to: 30 }), from: 0, to: 30 }
  const engines = [...halves('north'), buildEngine('north-mid', 'north', 'small', { from: 30, to: 40 })]
  t.is(describePath(choosePath(engines, SIZE, { ...OPTIONS, currentPath: [first] })), 'old:0-30 north-low:30-40 north-high:40-80')
})

test('only the dead stage of a request in progress is replaced, also over the link', t => {
  const stages = [[0, 20], [20, 30], [30, 80]].map(([from, to], index) => buildEngine(`n${index}`, 'north', index === 2 ? 'tiny' : 'medium', { from: from!, to: to! }))
  const current = stages.map(target => ({ target, ...target.layers! }))
  const fresh = buildEngine('fresh', 'south', 'large', { from: 10, to: 40 })
  const other = buildEngine('other', 'south', 'tiny', { from: 40, to: 80 })
  const slownessOf = (id: string): number => id === 'n1' ? Infinity : 1
  const path = choosePath([...stages, fresh, other], SIZE, { ...OPTIONS, slownessOf, currentPath: current, maxCrossings: 3, isOvercommitted: true })
  t.is(describePath(path), 'n0:0-20 fresh:20-30 n2:30-80')
})

test('every path runs each layer once, in order, on engines that hold it', t => {
  const engineArbitrary = fc.tuple(fc.integer({ min: 0, max: 79 }), fc.integer({ min: 1, max: 40 }), fc.constantFrom('north', 'south', 'east'), fc.constantFrom('large', 'medium', 'small', 'tiny'))
  fc.assert(fc.property(fc.array(engineArbitrary, { minLength: 1, maxLength: 25 }), fc.integer({ min: 0, max: 4 }), (ranges, maxCrossings) => {
    const engines = ranges.map(([from, length, domain, kind], index) => buildEngine(`e${index}`, domain, kind, { from, to: Math.min(80, from + length) }))
    const chosen = choosePath(engines, SIZE, { ...OPTIONS, maxCrossings, isOvercommitted: true })
    if (chosen === undefined) return true
    let at = 0
    for (const stage of chosen.path) {
      if (stage.from !== at || stage.to <= at || stage.from < stage.target.layers!.from || stage.to > stage.target.layers!.to) return false
      at = stage.to
    }
    const crossings = chosen.path.slice(1).filter((stage, index) => stage.target.failureDomain !== chosen.path[index]!.target.failureDomain).length
    return at === 80 && crossings <= maxCrossings && new Set(chosen.path.map(stage => stage.target.id)).size === chosen.path.length
  }), { seed: 20261204, numRuns: 300 })
  t.pass()
})

test('no choice among some of the engines is better than that among all', t => {
  const kinds = ['large', 'medium', 'small']
  const engines = fc.array(fc.record({ domain: fc.constantFrom('north', 'east'), kind: fc.constantFrom(...kinds), from: fc.integer({ min: 0, max: 7 }), count: fc.integer({ min: 1, max: 6 }) }), { minLength: 2, maxLength: 7 })
  const model = { ...TEST_MODEL, layerCount: 8 }
  fc.assert(fc.property(engines, descriptions => {
    const targets = descriptions.map(({ domain, kind, from, count }, index) => buildEngine(`i-${index}`, domain, kind, { from, to: Math.min(8, from + count) }))
    const choose = (some: Target[]) => choosePath(some, { promptTokens: 700, outputTokens: 100 }, { model, loadOf: () => ({ tokenLayers: 0, sequences: 0, firstSequences: 0 }), slownessOf: () => 1 })?.expectedMs ?? Infinity
    const best = choose(targets)
    for (let subset = 1; subset < 2 ** targets.length; subset++) {
      if (choose(targets.filter((_, index) => (subset >> index & 1) === 1)) < best - 1e-9) return false
    }
    return true
  }), { seed: 20261204, numRuns: 200 })
  t.pass()
})

interface PlainPart {
  costMs: number
  used: Candidate[]
  crossings: number
}

/** Expected time by the plain search: every engine and end is added to every kept part. */
function choosePlainly (engines: readonly Target[], size: { promptTokens: number, outputTokens: number }, options: PathOptions): number | undefined {
  const candidates = engines.flatMap(engine => createCandidate(engine, size, options) ?? [])
  const boundaries = [...new Set([0, 80, ...candidates.flatMap(({ from, to }) => [from, to])])].sort((a, b) => a - b)
  const parts = new Map(boundaries.map(boundary => [boundary, new Map<string, PlainPart[]>()]))
  for (const position of boundaries.slice(0, -1)) {
    const kept = [...parts.get(position)!.values()].flatMap(group => group.sort((a, b) => a.costMs - b.costMs)
      .filter((part, index) => group.findIndex(other => other.used.at(-1) === part.used.at(-1)) === index).slice(0, 3))
    for (const candidate of candidates.filter(({ from, to }) => from <= position && to > position)) {
      for (const end of boundaries.filter(boundary => boundary > position && boundary <= candidate.to)) {
        const stageMs = estimateStageMs(candidate, end - position, size, options, position === 0)
        for (const { costMs, used, crossings } of position === 0 ? [{ costMs: 0, used: [], crossings: 0 }] : kept) {
          const last = used.at(-1)?.target ?? candidate.target
          const isCrossing = last.failureDomain !== candidate.target.failureDomain
          const linkMs = isCrossing ? estimateCrossingMs(last, candidate.target, size, options) : 0
          if (stageMs === undefined || linkMs === undefined || used.includes(candidate) || crossings + Number(isCrossing) > options.maxCrossings!) continue
          const key = `${candidate.target.failureDomain} ${crossings + Number(isCrossing)}`
          parts.get(end)!.set(key, [...parts.get(end)!.get(key) ?? [], { costMs: costMs + stageMs + linkMs, used: [...used, candidate], crossings: crossings + Number(isCrossing) }])
        }
      }
    }
  }
  const costs = [...parts.get(80)!.values()].flat().map(({ costMs }) => costMs)
  return costs.length === 0 ? undefined : Math.min(...costs)
}

test('the search finds what the plain one finds', t => {
  const most: Record<string, number> = { large: 4, medium: 2, small: 1 }
  const engines = fc.array(fc.record({ domain: fc.constantFrom('north', 'east', 'south'), kind: fc.constantFrom('large', 'medium', 'small'), from: fc.integer({ min: 0, max: 7 }), count: fc.integer({ min: 1, max: 4 }), tokenLayers: fc.integer({ min: 0, max: 300_000 }) }), { minLength: 8, maxLength: 40 })
  let found = 0
  fc.assert(fc.property(engines, fc.integer({ min: 0, max: 3 }), (descriptions, maxCrossings) => {
    const targets = descriptions.map(({ domain, kind, from, count }, index) => buildEngine(`i-${index}`, domain, kind, { from: 10 * from, to: Math.min(80, 10 * (from + Math.min(count, most[kind]!))) }))
    const options: PathOptions = { ...OPTIONS, maxCrossings, loadOf: id => ({ tokenLayers: descriptions[Number(id.slice(2))]?.tokenLayers ?? 3_000, sequences: 5, firstSequences: 0 }) }
    const [expectedMs, plainMs] = [choosePath(targets, SIZE, options)?.expectedMs, choosePlainly(targets, SIZE, options)]
    if (plainMs !== undefined) found++
    return (expectedMs === undefined) === (plainMs === undefined) && Math.abs((expectedMs ?? 0) - (plainMs ?? 0)) < 1e-6
  }), { seed: 20261204, numRuns: 300 })
  t.true(found > 50)
})
