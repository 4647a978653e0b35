import test from 'ava'
import { createMemoryObjectStore } from '../../../standin/objectApi/createMemoryObjectStore/index.js'
import { createEngineFleet } from '../../../test/fakes/createEngineFleet.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import { buildConfiguration } from '../../configuration/buildConfiguration/index.js'
import { createConfigurationHolder } from '../../configuration/createConfigurationHolder/index.js'
import type { TargetDirectory } from '../../target/types.js'
import { createLeaseClaim } from '../holdLease/index.js'
import { createOrderCarrier } from './index.js'

const TARGETS = ['a', 'b', 'c']

function configure (revision: number, options: { version: string, checksFencing: boolean, weightLoadsPerMinute?: number }) {
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
    const claim = createLeaseClaim({ holder: host, durationMs: 6_000, store, runtime })
    const daemon = { holder, directory: directory as never, runtime, log, signal: new AbortController().signal }
    return { holder, claim, log, carrier: createOrderCarrier({ daemon, engines: fleet, claim }) }
  }
  return { runtime, fleet, control }
}

/** Holder `a` is frozen in the middle of an order while `b` takes over and carries revision 2. */
async function freezeAndTakeOver (checksFencing: boolean, weightLoadsPerMinute = 30) {
  const { runtime, fleet, control } = setUp(checksFencing)
  const [a, b] = [control('a'), control('b')]
  a.holder.offer(configure(1, { version: 'v1', checksFencing }), 'store')
  b.holder.offer(configure(2, { version: 'v2', checksFencing, weightLoadsPerMinute }), 'store')
  await a.claim.step()
  await b.claim.step()
  await runtime.advance(2_000)
  let resume = (): void => {}
  const frozen = new Promise<void>(resolve => { resume = resolve })
  fleet.beforeOrder = () => frozen
  const paused = a.carrier.pass()
  await runtime.advance(6_000)
  await b.claim.step()
  fleet.beforeOrder = async () => {}
  return { runtime, fleet, a, b, resume, paused }
}

test('a holder frozen past its lease changes no target that checks fencing numbers', async t => {
  const { runtime, fleet, a, b, resume, paused } = await freezeAndTakeOver(true)
  for (let pass = 0; pass < 8; pass++) {
    await b.carrier.pass()
    await runtime.advance(2_000)
    await b.claim.step()
  }
  resume()
  await paused
  await a.carrier.pass()
  t.deepEqual([...fleet.statuses.values()].map(status => status.version), ['v2', 'v2', 'v2'])
  t.deepEqual(fleet.accepted.filter(order => order.fencing === 1), [])
})

test('a late order to targets that do not check is read back and put right', async t => {
  const { runtime, fleet, a, b, resume, paused } = await freezeAndTakeOver(false)
  const passes = async (count: number): Promise<void> => {
    for (let pass = 0; pass < count; pass++) {
      await b.carrier.pass()
      await runtime.advance(2_000)
      await b.claim.step()
    }
  }
  await passes(8)
  resume()
  await paused
  await a.carrier.pass()
  t.true([...fleet.statuses.values()].some(status => status.version === 'v1'))
  await passes(12)
  t.deepEqual([...fleet.statuses.values()].map(status => status.version), ['v2', 'v2', 'v2'])
})

test('a new holder sends nothing to targets that do not check while an older order may be under way', async t => {
  const { runtime, fleet, b } = await freezeAndTakeOver(false, 60_000)
  await b.carrier.pass()
  await runtime.advance(1_900)
  await b.claim.step()
  await b.carrier.pass()
  t.deepEqual(fleet.accepted, [])
  await runtime.advance(100)
  await b.carrier.pass()
  t.is(fleet.accepted.length, 3)
})

test('orders keep within the rate of the weight store', async t => {
  const { runtime, fleet, control } = setUp(true)
  const { holder, claim, carrier } = control('a')
  holder.offer(configure(1, { version: 'v1', checksFencing: true, weightLoadsPerMinute: 2 }), 'store')
  await claim.step()
  await carrier.pass()
  await carrier.pass()
  t.is(fleet.accepted.length, 2)
  for (let second = 0; second < 31; second++) {
    await runtime.advance(1_000)
    await claim.step()
    await carrier.pass()
  }
  t.is(fleet.accepted.length, 3)
})

test('an order that would end the last pipeline is held and said', async t => {
  const { runtime, fleet, control } = setUp(true)
  const { holder, claim, carrier, log } = control('a')
  holder.offer(configure(1, { version: 'v1', checksFencing: true }), 'store')
  await claim.step()
  await carrier.pass()
  holder.offer(configure(2, { version: 'v2', checksFencing: true }), 'store')
  await carrier.pass()
  const versions = [...fleet.statuses.values()].map(status => status.version)
  t.deepEqual(versions, ['v2', 'v2', 'v1'])
  t.is(log.recent().filter(event => event.name === 'orderHeld').length, 1)
  await runtime.advance(500)
  await carrier.pass()
  t.is(fleet.statuses.get('c')?.version, 'v2')
})
