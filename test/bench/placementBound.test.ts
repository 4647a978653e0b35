import test from 'ava'
import { computeBound } from '../../bench/placementBound/computeBound.js'
import { computeKindCapacity } from '../../bench/placementBound/computeKindCapacity.js'
import { listPools } from '../../bench/placementBound/listPools.js'
import type { Site, SiteChange, SiteDay } from '../../platform/readSite/types.js'
import type { EngineModel } from '../../src/fleet/types.js'

/** One layer and steps of 10 ms whatever the batch: an engine with room for 20 tokens serves 2 requests of 10 at once, in 100 ms. */
const MODEL: EngineModel = {
  layerCount: 1,
  layerMb: 100,
  tokenLayerMb: 1,
  stepMs: 10,
  perSequenceMs: 0,
  perContextKMs: 0,
  prefillTokensPerMs: 1_000_000,
  activationBytes: 0,
  pipeMbps: 1,
  loadMs: 2_000,
  loadsAtOnce: 1,
  slots: 10,
  usualPromptTokens: 0,
  usualOutputTokens: 0,
  kinds: { small: { memoryMb: 110.5, pace: 1, prefillFactor: 1 }, big: { memoryMb: 200, pace: 1, prefillFactor: 1 } }
}
const request = { promptTokens: 5, outputTokens: 10, objectiveMs: 500, gapObjectiveMs: 250 }
const terms = { model: MODEL, tokensPerEvent: 1, linkMs: 0 }
const change = (kind: SiteChange['kind'], atS: number, untilS: number, fields: Partial<SiteChange> = {}): SiteChange =>
  ({ kind, atS, untilS, service: undefined, failureDomain: undefined, route: undefined, count: 1, share: undefined, factor: 1, ...fields })
const day = (requestsPerS: number, changes: SiteChange[] = []): SiteDay =>
  ({ name: 'd', lengthS: 10, changes, leftOut: [], demand: [{ failureDomain: 'north', requestsPerS, shares: { note: 1 }, wave: { swing: 0, periodS: 1, phase: 0 } }] })
const site: Site = {
  name: 's',
  failureDomains: ['north', 'south'],
  linkMs: 0,
  models: [],
  routes: [{ name: 'note', service: 'desk', objectiveMs: 100, gapObjectiveMs: undefined, promptTokens: 0, outputTokens: 0, workMs: 100 }],
  targets: [{ service: 'desk', failureDomain: 'north', kind: undefined, count: 2, slots: 1 }, { service: 'desk', failureDomain: 'south', kind: undefined, count: 1, slots: 1 }],
  days: []
}

test('an engine is bound by memory, by speed and by the objective', t => {
  t.true(Math.abs(computeKindCapacity('small', request, terms, 1).requestsPerS - 10) < 0.6, 'one request of 10 tokens at once, 100 ms each')
  t.true(computeKindCapacity('big', request, terms, 1).requestsPerS > 80)
  t.true(Math.abs(computeKindCapacity('small', request, terms, 4).requestsPerS - 2.5) < 0.2)
  t.is(computeKindCapacity('small', request, terms, 60).requestsPerS, 0, 'a step of 600 ms is over the objective')
  t.is(computeKindCapacity('none', request, terms, 1).requestsPerS, 0)
})

test('a day is served up to the capacity of its targets', t => {
  t.is(computeBound(site, day(20)).share, 1)
  const over = computeBound(site, day(60))
  t.true(Math.abs(over.share - 0.5) < 1e-9)
  t.is(over.services[0]!.lowestRoom, 0.5)
  t.true(Math.abs(over.services[0]!.byFailureDomain[0]!.share - 1 / 3) < 1e-9)
})

test('what is down, gone, slow or raised by a burst counts while it lasts', t => {
  const changes = [change('down', 1, 2), change('gone', 5, Infinity), change('slow', 7, 8, { factor: 2 }), change('burst', 3, 4, { factor: 3 })]
  const { seconds } = computeBound(site, day(10, changes)).services[0]!
  t.deepEqual(seconds.map(({ capacity }) => capacity), [30, 20, 30, 30, 30, 20, 20, 15, 20, 20])
  t.deepEqual(seconds.map(({ demand }) => Math.round(demand)), [10, 10, 10, 30, 10, 10, 10, 10, 10, 10])
})

test('what is too much for a second is served in the next one only within the objective', t => {
  const { seconds } = computeBound(site, day(10, [change('burst', 3, 4, { factor: 4 })])).services[0]!
  t.deepEqual(seconds.slice(3, 6).map(({ served }) => Math.round(served)), [30, 13, 10])
})

test('a loss takes the least, what returns or joins serves once loaded', t => {
  const options = { site, day: day(1, [change('down', 1, 3, { failureDomain: 'south' }), change('joins', 5, Infinity, { failureDomain: 'south', count: 2 })]), valueOf: () => 1, loadS: () => 2 }
  const counts = [0, 1, 4, 5, 6, 7].map(atS => listPools('desk', atS, options).reduce((sum, { count }) => sum + count, 0))
  t.deepEqual(counts, [3, 2, 2, 3, 3, 5])
})

test('engines that cannot hold the model together serve nothing', t => {
  const siteModel = { service: 'desk', model: { ...MODEL, layerCount: 9 }, tokensPerEvent: 1 }
  t.is(computeBound({ ...site, models: [siteModel] }, day(1)).share, 0)
})
