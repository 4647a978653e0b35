import test from 'ava'
import { buildFleet, describeEngines, TEST_MODEL } from '../../../test/fakes/buildFleet.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import { createFleetState } from '../../fleet/createFleetState/index.js'
import type { Target } from '../../fleet/types.js'
import { createGatewayMetrics } from '../../gateway/createGatewayMetrics/index.js'
import { createSuspicions } from '../../suspicion/createSuspicions/index.js'
import { planPlacement } from '../planPlacement/index.js'
import { runPlacement } from './index.js'

/** The engines of a complete placement. */
function buildPlacedFleet (): Target[] {
  const targets = buildFleet()
  const ranges = new Map(planPlacement(describeEngines(targets), { model: TEST_MODEL }).map(({ target, range }) => [target.id, range]))
  return targets.map(target => ranges.has(target.id) ? { ...target, layers: ranges.get(target.id)! } : target)
}

/** Runs placement for a time, in milliseconds, with some engines in a pause; returns where the ordered loads begin. */
async function placeWithPaused (isPaused: (first: Target, index: number) => boolean, forMs: number): Promise<number[]> {
  const runtime = createManualRuntime()
  const fleet = createFleetState({ runtime })
  const targets = buildPlacedFleet()
  const pausedIds = new Set(targets.filter(({ layers }) => layers?.from === 0).filter(isPaused).map(({ id }) => id))
  fleet.applyConfiguration({ version: 1, routes: [], services: [{ name: targets[0]!.service, model: TEST_MODEL }], accounts: [], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
  fleet.applySnapshot({ revision: 1, targets })
  const controller = new AbortController()
  const starts: number[] = []
  runPlacement({
    fleet,
    suspicions: createSuspicions({ runtime }),
    pauseLeftMs: id => pausedIds.has(id) ? 3_000 : 0,
    control: {
      report: async ({ bornMs, layers }) => ({ bornMs, layers, orderCount: 0, isBusy: false }),
      async place (_target, range) {
        starts.push(range.from)
        return { kind: 'begun' }
      },
      repath: async () => ({ kind: 'done' }),
      isReachable: async () => true
    },
    runtime,
    log: createTestLog(),
    metrics: createGatewayMetrics(),
    signal: controller.signal,
    fencing: () => 1,
    onLoaded: () => {}
  })
  await runtime.advance(forMs)
  controller.abort()
  return starts
}

test('other engines load the first layers while every engine that holds them is in a pause', async t => {
  t.true((await placeWithPaused(() => true, 1_000)).includes(0))
})

test('a short pause of every first engine, and pauses of some, are waited for', async t => {
  t.deepEqual(await placeWithPaused(() => true, 400), [])
  t.deepEqual(await placeWithPaused((_first, index) => index > 0, 2_000), [])
})
