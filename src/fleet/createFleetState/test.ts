import test from 'ava'
import fc from 'fast-check'
import { buildEngine } from '../../../test/fakes/buildFleet.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createSystemRuntime } from '../../runtime/createSystemRuntime/index.js'
import type { FleetConfiguration } from '../types.js'
import { createFleetState } from './index.js'

const configuration = (version: number): FleetConfiguration => ({
  version, routes: [], services: [], accounts: [], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
})
const engine = (id: string) => buildEngine(id, 'north', 'small')

test('versions never go back, whatever order they are seen in', t => {
  fc.assert(fc.property(fc.array(fc.nat({ max: 50 }), { minLength: 1 }), versions => {
    const fleet = createFleetState({ runtime: createManualRuntime() })
    let highest = -1
    for (const version of versions) {
      fleet.applyConfiguration(configuration(version))
      highest = Math.max(highest, version)
      if (fleet.configuration()?.version !== highest) return false
    }
    return true
  }), { seed: 20261204 })
  t.pass()
})

test('an older snapshot does not bring back a removed target', t => {
  const fleet = createFleetState({ runtime: createManualRuntime() })
  fleet.applySnapshot({ revision: 5, targets: [engine('a'), engine('b')] })
  fleet.applyChanges({ revision: 7, changed: [], removedIds: ['a'] })
  t.false(fleet.applySnapshot({ revision: 6, targets: [engine('a'), engine('b')] }))
  t.deepEqual(fleet.targets().map(target => target.id), ['b'])
})

test('a target whose entry lapsed during an outage is kept until its time to return is over', async t => {
  const runtime = createManualRuntime()
  const fleet = createFleetState({ runtime })
  fleet.applySnapshot({ revision: 1, targets: [engine('a'), engine('b')] })
  fleet.applySnapshot({ revision: 2, targets: [engine('b')] }, { keepMissingMs: 1_900 })
  t.is(fleet.servingTargets('model').length, 2)
  await runtime.advance(1_900)
  t.deepEqual(fleet.servingTargets('model').map(target => target.id), ['b'])
})

test('a target that comes back in time stays', async t => {
  const runtime = createManualRuntime()
  const fleet = createFleetState({ runtime })
  fleet.applySnapshot({ revision: 1, targets: [engine('a')] })
  fleet.applySnapshot({ revision: 2, targets: [] }, { keepMissingMs: 1_900 })
  fleet.applyChanges({ revision: 3, changed: [engine('a')], removedIds: [] })
  await runtime.advance(2_000)
  t.is(fleet.servingTargets('model').length, 1)
})

test('a target with a defect, which a peer of an earlier version may pass on, is not used but counts in the fingerprint', t => {
  const [one, other] = [0, 1].map(() => createFleetState({ runtime: createManualRuntime() }))
  const targets = [engine('a'), { ...engine('odd'), address: '10.0.0.1:99999' }]
  one!.applySnapshot({ revision: 5, targets })
  other!.applySnapshot({ revision: 5, targets: targets.slice(0, 1) })
  t.deepEqual(one!.targets().map(({ id }) => id), ['a'])
  t.not(one!.fingerprint(), other!.fingerprint())
})

test('layers seen on an engine count before its entry shows them, for that start of it only', t => {
  const fleet = createFleetState({ runtime: createManualRuntime() })
  fleet.applySnapshot({ revision: 1, targets: [engine('a')] })
  fleet.recordSeenLayers({ targetId: 'a', bornMs: 1, layers: { from: 0, to: 8 } })
  t.deepEqual(fleet.targets()[0]!.layers, { from: 0, to: 8 })
  t.is(fleet.seenLayers().length, 1)
  fleet.applyChanges({ revision: 2, changed: [{ ...engine('a'), bornMs: 2 }], removedIds: [] })
  t.is(fleet.targets()[0]!.layers, undefined)
})

test('entries that are only heartbeats change nothing', t => {
  const fleet = createFleetState({ runtime: createManualRuntime() })
  fleet.applySnapshot({ revision: 1, targets: [engine('a'), engine('b')] })
  const fingerprint = fleet.fingerprint()
  let calls = 0
  fleet.onChange(() => { calls++ })
  fleet.applyChanges({ revision: 2, changed: [engine('a')], removedIds: [] })
  t.deepEqual([calls, fleet.revision(), fleet.fingerprint()], [0, 2, fingerprint])
  fleet.applyChanges({ revision: 3, changed: [{ ...engine('a'), layers: { from: 0, to: 4 } }], removedIds: [] })
  t.is(calls, 1)
  t.not(fleet.fingerprint(), fingerprint)
})

test('a host that applies an update knows the same targets, however far behind it was', t => {
  const changes = fc.record({
    changed: fc.array(fc.record({ id: fc.constantFrom('a', 'b', 'c', 'd'), to: fc.integer({ min: 1, max: 3 }) }), { maxLength: 3 }),
    removedIds: fc.array(fc.constantFrom('a', 'b', 'c', 'd'), { maxLength: 2 }),
    isRead: fc.boolean()
  })
  fc.assert(fc.property(fc.array(changes, { maxLength: 150 }), steps => {
    const [reader, follower] = [createFleetState({ runtime: createManualRuntime() }), createFleetState({ runtime: createManualRuntime() })]
    const read = (): void => {
      const { revision, isWhole, changed, removedIds } = reader.updateSince(follower.fingerprint())
      if (isWhole) follower.applySnapshot({ revision, targets: changed })
      else follower.applyChanges({ revision, changed, removedIds })
    }
    steps.forEach(({ changed, removedIds, isRead }, index) => {
      const targets = changed.map(({ id, to }) => ({ ...engine(id), layers: { from: 0, to } }))
      reader.applyChanges({ revision: index, changed: targets, removedIds })
      if (isRead) read()
    })
    read()
    return follower.fingerprint() === reader.fingerprint()
  }), { seed: 20261204 })
  t.pass()
})

test('a missing target is kept no longer than by the peer that reported it', async t => {
  const runtime = createManualRuntime()
  const [peer, own] = [createFleetState({ runtime }), createFleetState({ runtime })]
  peer.applySnapshot({ revision: 1, targets: [engine('a'), engine('b')] })
  peer.applySnapshot({ revision: 2, targets: [engine('b')] }, { keepMissingMs: 1_900 })
  const { revision, changed, lapsing } = peer.updateSince(own.fingerprint())
  own.applySnapshot({ revision, targets: changed, lapsing })
  t.is(own.targets().length, 2)
  await runtime.advance(1_900)
  t.deepEqual([peer, own].map(fleet => fleet.targets().map(target => target.id)), [['b'], ['b']])
})

test('a target whose entry said that it leaves is leaving for good, whatever later lists say, and another start of it is not', t => {
  for (const comeBack of ['applySnapshot', 'applyChanges'] as const) {
    const fleet = createFleetState({ runtime: createManualRuntime() })
    fleet.applySnapshot({ revision: 1, targets: [engine('a')] })
    fleet.applyChanges({ revision: 2, changed: [{ ...engine('a'), isLeaving: true }], removedIds: [] })
    fleet.applyChanges({ revision: 3, changed: [], removedIds: ['a'] })
    if (comeBack === 'applySnapshot') fleet.applySnapshot({ revision: 4, targets: [engine('a')] })
    else fleet.applyChanges({ revision: 4, changed: [engine('a')], removedIds: [] })
    t.deepEqual([fleet.servingTargets('model').length, fleet.isServing(engine('a'))], [0, false])
    t.deepEqual(fleet.knownLeaving(), [{ targetId: 'a', bornMs: 1 }])
    fleet.applyChanges({ revision: 5, changed: [{ ...engine('a'), bornMs: 2 }], removedIds: [] })
    t.is(fleet.servingTargets('model').length, 1)
  }
})

test('hosts are told of leaving targets only if the entries do not say it, or the targets said it themselves', t => {
  const fleet = createFleetState({ runtime: createManualRuntime() })
  fleet.applySnapshot({ revision: 1, targets: [{ ...engine('a'), isLeaving: true }, engine('b'), engine('c')] })
  t.true(fleet.recordLeaving(engine('b')))
  t.false(fleet.recordLeaving(engine('b')))
  t.deepEqual(fleet.knownLeaving().map(({ targetId }) => targetId), ['b'])
  t.true(fleet.recordLeaving(engine('a')))
  t.deepEqual(fleet.knownLeaving().map(({ targetId }) => targetId), ['b', 'a'])
})

test('what is heard late of an earlier start does not hide that the present one leaves', t => {
  const fleet = createFleetState({ runtime: createManualRuntime() })
  fleet.applySnapshot({ revision: 1, targets: [{ ...engine('a'), bornMs: 2 }] })
  fleet.recordLeaving({ id: 'a', bornMs: 2 })
  fleet.recordLeaving({ id: 'a', bornMs: 1 })
  t.is(fleet.servingTargets('model').length, 0)
})

test('a target whose entry lapsed does not stay listed because its timer fired early', async t => {
  const runtime = createSystemRuntime()
  // Timers of a runtime do not keep the process alive.
  const keptAlive = setInterval(() => {}, 1_000)
  t.teardown(() => clearInterval(keptAlive))
  await Promise.all(Array.from({ length: 100 }, async (_, index) => {
    // Spreads the timers over the milliseconds to which the event loop rounds its clock.
    await new Promise(resolve => { setTimeout(resolve, index / 10) })
    const fleet = createFleetState({ runtime })
    fleet.applySnapshot({ revision: 1, targets: [engine('a')] })
    const removed = new Promise<void>(resolve => { fleet.onChange(resolve) })
    fleet.applySnapshot({ revision: 2, targets: [] }, { keepMissingMs: 15 })
    await removed
    t.deepEqual(fleet.targets(), [])
  }))
})
