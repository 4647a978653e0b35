import test from 'ava'
import { applyLoads, buildEngine, buildFleet, describeEngines, TEST_MODEL } from '../../../test/fakes/buildFleet.js'
import { createLoadingEngines } from '../../../test/fakes/createLoadingEngines.js'
import { MANY_MIDDLE, FEW_FAST } from '../../../test/fakes/unevenFleets.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import type { EngineModel, Target } from '../../fleet/types.js'
import { createGatewayMetrics } from '../../gateway/createGatewayMetrics/index.js'
import { createSuspicions } from '../../suspicion/createSuspicions/index.js'
import { choosePath } from '../../path/choosePath/index.js'
import { countCoverage } from '../_lib/coverage.js'
import { planPlacement } from '../planPlacement/index.js'
import { runPlacement } from './index.js'

/** The engines of a complete placement. */
function buildPlacedFleet (): Target[] {
  return applyLoads(buildFleet(), planPlacement(describeEngines(buildFleet()), { model: TEST_MODEL }))
}

/** Starts placement over some engines on one host; once stopped, it can be started again on another. */
function startPlacement (targets: readonly Target[], { model = TEST_MODEL, pauseLeftMs = () => 0 }: { model?: EngineModel, pauseLeftMs?: (targetId: string) => number } = {}) {
  const runtime = createManualRuntime()
  const engines = createLoadingEngines(targets, { model, runtime })
  const log = createTestLog()
  let controller = new AbortController()
  const start = (): void => {
    controller = new AbortController()
    runPlacement({ fleet: engines.fleet, suspicions: createSuspicions({ runtime }), pauseLeftMs, control: engines.control, runtime, log, metrics: createGatewayMetrics(), signal: controller.signal, fencing: () => 1, onLoaded: () => {} })
  }
  start()
  return { ...engines, runtime, log, start, stop: () => controller.abort() }
}

/** Runs placement for a time, in milliseconds, with some engines in a pause; returns where the ordered loads begin. */
async function placeWithPaused (isPaused: (first: Target, index: number) => boolean, forMs: number): Promise<number[]> {
  const targets = buildPlacedFleet()
  const pausedIds = new Set(targets.filter(({ layers }) => layers?.from === 0).filter(isPaused).map(({ id }) => id))
  const placement = startPlacement(targets, { pauseLeftMs: id => pausedIds.has(id) ? 3_000 : 0 })
  await placement.runtime.advance(forMs)
  placement.stop()
  return placement.accepted.map(({ range }) => range.from)
}

test('other engines load the first layers while every engine that holds them is in a pause', async t => {
  t.true((await placeWithPaused(() => true, 1_000)).includes(0))
})

test('a short pause of every first engine, and pauses of some, are waited for', async t => {
  t.deepEqual(await placeWithPaused(() => true, 400), [])
  t.deepEqual(await placeWithPaused((_first, index) => index > 0, 2_000), [])
})

/** Time in milliseconds from the loss of a group of engines until the others hold every layer. */
async function measureRecovery (placed: readonly Target[], lost: readonly Target[], model: EngineModel): Promise<number> {
  const placement = startPlacement(placed, { model })
  await placement.runtime.advance(1_000)
  const lostMs = placement.runtime.monotonicMs()
  placement.list(placed.filter(target => !lost.includes(target)))
  const isWhole = (): boolean => countCoverage(placement.fleet.targets().flatMap(({ layers }) => layers ?? []), model).every(count => count > 0)
  while (!isWhole() && placement.runtime.monotonicMs() - lostMs < 20_000) await placement.runtime.advance(50)
  placement.stop()
  return placement.runtime.monotonicMs() - lostMs
}

/** Engines of one domain in which a number of engines hold each range of eight layers, and some are empty. */
const buildDomain = (copies: number, emptyCount: number): Target[] => [
  ...Array.from({ length: copies * 10 }, (_, index) => buildEngine(`engine${index}`, 'north', 'small', { from: index % 10 * 8, to: index % 10 * 8 + 8 })),
  ...Array.from({ length: emptyCount }, (_, index) => buildEngine(`empty${index}`, 'north', 'small'))
]

/** Longest time until layers are held again: one load, one plan and one poll. */
const MAX_RECOVERY_MS = TEST_MODEL.loadMs * 8 / TEST_MODEL.layerCount + 300

test('a lost group is replaced within one load time, by empty engines or by those with other holders', async t => {
  const isLost = ({ layers }: Target): boolean => layers !== undefined && layers.to <= 24
  for (const domain of [buildDomain(1, 4), buildDomain(3, 0)]) {
    const recoveryMs = await measureRecovery(domain, domain.filter(isLost), TEST_MODEL)
    t.true(recoveryMs > 0 && recoveryMs <= MAX_RECOVERY_MS, String(recoveryMs))
  }
})

test('the loss of a pipeline, of a fifth of one kind or of a domain leaves every layer held in the other domains', async t => {
  for (const { counts, model } of [MANY_MIDDLE, FEW_FAST]) {
    const fleet = buildFleet(counts)
    const placed = applyLoads(fleet, planPlacement(describeEngines(fleet), { model }))
    const size = { promptTokens: model.usualPromptTokens, outputTokens: model.usualOutputTokens }
    const { path } = choosePath(placed, size, { model, loadOf: () => ({ tokenLayers: 0, sequences: 0, firstSequences: 0 }), slownessOf: () => 1 })!
    const pipeline = placed.filter(({ id }) => path.some(({ target }) => target.id === id))
    const fifth = placed.filter(({ kind }) => kind === 'small').filter((_, index) => index % 5 === 0)
    for (const lost of [pipeline, fifth]) {
      for (const domain of Object.keys(counts)) t.is(await measureRecovery(placed.filter(target => target.failureDomain === domain), lost, model), 0, domain)
    }
    t.is(await measureRecovery(placed, placed.filter(({ failureDomain }) => failureDomain === 'north'), model), 0)
  }
})

test('the next leader waits for a load that the last one ordered', async t => {
  const placement = startPlacement(buildDomain(1, 0).slice(1).concat(buildEngine('empty', 'north', 'small')))
  await placement.runtime.advance(500)
  placement.stop()
  placement.start()
  await placement.runtime.advance(3_000)
  placement.stop()
  t.deepEqual(placement.accepted.map(({ target, range }) => [target.id, range]), [['empty', { from: 0, to: 8 }]])
  t.deepEqual(placement.fleet.targets().find(({ id }) => id === 'empty')?.layers, { from: 0, to: 8 })
})

test('an engine of an unknown kind is left out, and logged once', async t => {
  const placement = startPlacement([...buildDomain(1, 0).slice(1), buildEngine('odd', 'north', 'unheard-of', { from: 0, to: 8 }), buildEngine('empty', 'north', 'small')])
  await placement.runtime.advance(3_000)
  placement.stop()
  t.deepEqual(placement.accepted.map(({ target, range }) => [target.id, range]), [['empty', { from: 0, to: 8 }]])
  t.deepEqual(placement.log.recent().filter(({ name }) => name === 'engineLeftOut').map(({ target, cause }) => [target, cause]), [['odd', 'unknown kind']])
})
