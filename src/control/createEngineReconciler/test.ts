import test from 'ava'
import { createMemoryObjectStore } from '../../../standin/objectApi/createMemoryObjectStore/index.js'
import { createEngineFleet } from '../../../test/fakes/createEngineFleet.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import { buildConfiguration } from '../../configuration/buildConfiguration/index.js'
import { createConfigurationHolder } from '../../configuration/createConfigurationHolder/index.js'
import type { TargetDirectory } from '../../target/types.js'
import { createLeaseClient } from '../createLeaseClient/index.js'
import { createEngineReconciler } from './index.js'

const TARGETS = ['a', 'b', 'c']

function createConfiguration (revision: number, options: { version: string, checksFencing: boolean, weightLoadsPerMinute?: number }) {
  const placement = TARGETS.map(target => ({ target, fromLayer: 0, toLayer: 4 }))
  const targets = TARGETS.map(name => ({ name, host: name, kind: 'engine', checksFencing: options.checksFencing }))
  return buildConfiguration({ revision, scopes: {}, nonce: '' }, new Map<string, unknown>([
    ['models/m', { layers: 4, version: options.version, placement }],
    ['targets/all', { targets }],
    ['timeouts', { weightLoadsPerMinute: options.weightLoadsPerMinute ?? 30 }]
  ]))
}

function setUp (checksFencing: boolean) {
  const runtime = createManualRuntime()
  const store = createMemoryObjectStore()
  const fleet = createEngineFleet(TARGETS, { checksFencing })
  function control (host: string) {
    const log = createTestLog({ host, nowMs: runtime.nowMs })
    const holder = createConfigurationHolder({ runtime, log })
    const directory = { address: (target: string) => target, markLeaving () {} } as unknown as TargetDirectory
    const lease = createLeaseClient({ holder: host, durationMs: 6_000, store, runtime })
    const daemon = { holder, directory: directory as never, runtime, log, signal: new AbortController().signal }
    return { holder, lease, log, reconciler: createEngineReconciler({ daemon, engines: fleet, lease }) }
  }
  return { runtime, fleet, control }
}

/**
 * Freezes the lease holder `a` while it sends an order for revision 1. Control daemon `b` then takes
 * over the lease; its configuration is revision 2.
 */
async function freezeAndTakeOver (checksFencing: boolean, weightLoadsPerMinute = 30) {
  const { runtime, fleet, control } = setUp(checksFencing)
  const [a, b] = [control('a'), control('b')]
  a.holder.applyIfNewer(createConfiguration(1, { version: 'v1', checksFencing }), 'store')
  b.holder.applyIfNewer(createConfiguration(2, { version: 'v2', checksFencing, weightLoadsPerMinute }), 'store')
  await a.lease.step()
  await b.lease.step()
  await runtime.advance(2_000)
  let resume = (): void => {}
  const resumed = new Promise<void>(resolve => { resume = resolve })
  fleet.beforeOrder = () => resumed
  const frozenPass = a.reconciler.reconcile()
  await runtime.advance(6_000)
  await b.lease.step()
  fleet.beforeOrder = async () => {}
  return { runtime, fleet, a, b, resume, frozenPass }
}

test('a holder frozen past its lease changes no target that checks fencing numbers', async t => {
  const { runtime, fleet, a, b, resume, frozenPass } = await freezeAndTakeOver(true)
  for (let pass = 0; pass < 8; pass++) {
    await b.reconciler.reconcile()
    await runtime.advance(2_000)
    await b.lease.step()
  }
  resume()
  await frozenPass
  await a.reconciler.reconcile()
  t.deepEqual([...fleet.statuses.values()].map(status => status.version), ['v2', 'v2', 'v2'])
  t.deepEqual(fleet.accepted.filter(order => order.fencing === 1), [])
})

test('a late order to targets that do not check fencing numbers is detected and corrected', async t => {
  const { runtime, fleet, a, b, resume, frozenPass } = await freezeAndTakeOver(false)
  const reconcileTimes = async (count: number): Promise<void> => {
    for (let pass = 0; pass < count; pass++) {
      await b.reconciler.reconcile()
      await runtime.advance(2_000)
      await b.lease.step()
    }
  }
  await reconcileTimes(8)
  resume()
  await frozenPass
  await a.reconciler.reconcile()
  t.true([...fleet.statuses.values()].some(status => status.version === 'v1'))
  await reconcileTimes(12)
  t.deepEqual([...fleet.statuses.values()].map(status => status.version), ['v2', 'v2', 'v2'])
})

test('a new holder sends nothing to targets that do not check fencing numbers while an order of the previous holder may be in flight', async t => {
  const { runtime, fleet, b } = await freezeAndTakeOver(false, 60_000)
  await b.reconciler.reconcile()
  await runtime.advance(1_900)
  await b.lease.step()
  await b.reconciler.reconcile()
  t.deepEqual(fleet.accepted, [])
  await runtime.advance(100)
  await b.reconciler.reconcile()
  t.is(fleet.accepted.length, 3)
})

test('orders stay within the load rate of the weight store', async t => {
  const { runtime, fleet, control } = setUp(true)
  const { holder, lease, reconciler } = control('a')
  holder.applyIfNewer(createConfiguration(1, { version: 'v1', checksFencing: true, weightLoadsPerMinute: 2 }), 'store')
  await lease.step()
  await reconciler.reconcile()
  await reconciler.reconcile()
  t.is(fleet.accepted.length, 2)
  for (let second = 0; second < 31; second++) {
    await runtime.advance(1_000)
    await lease.step()
    await reconciler.reconcile()
  }
  t.is(fleet.accepted.length, 3)
})

test('an order that would end the last pipeline is held back and logged', async t => {
  const { runtime, fleet, control } = setUp(true)
  const { holder, lease, reconciler, log } = control('a')
  holder.applyIfNewer(createConfiguration(1, { version: 'v1', checksFencing: true }), 'store')
  await lease.step()
  await reconciler.reconcile()
  holder.applyIfNewer(createConfiguration(2, { version: 'v2', checksFencing: true }), 'store')
  await reconciler.reconcile()
  const versions = [...fleet.statuses.values()].map(status => status.version)
  t.deepEqual(versions, ['v2', 'v2', 'v1'])
  t.is(log.recent().filter(event => event.name === 'orderHeld').length, 1)
  await runtime.advance(500)
  await reconciler.reconcile()
  t.is(fleet.statuses.get('c')?.version, 'v2')
})
