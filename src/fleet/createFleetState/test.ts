import test from 'ava'
import fc from 'fast-check'
import { buildEngine } from '../../../test/fakes/buildFleet.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
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

test('an older list of targets does not bring back one that has left', t => {
  const fleet = createFleetState({ runtime: createManualRuntime() })
  fleet.applySnapshot({ revision: 5, targets: [engine('a'), engine('b')] })
  fleet.applyChanges({ revision: 7, changed: [], removedIds: ['a'] })
  t.false(fleet.applySnapshot({ revision: 6, targets: [engine('a'), engine('b')] }))
  t.deepEqual(fleet.targets().map(target => target.id), ['b'])
})

test('a target that lapsed in an outage is kept until it had time to come back', async t => {
  const runtime = createManualRuntime()
  const fleet = createFleetState({ runtime })
  fleet.applySnapshot({ revision: 1, targets: [engine('a'), engine('b')] })
  fleet.applySnapshot({ revision: 2, targets: [engine('b')] }, { keepMissingMs: 1_900 })
  t.is(fleet.serving('model').length, 2)
  await runtime.advance(1_900)
  t.deepEqual(fleet.serving('model').map(target => target.id), ['b'])
})

test('a target that comes back in time stays', async t => {
  const runtime = createManualRuntime()
  const fleet = createFleetState({ runtime })
  fleet.applySnapshot({ revision: 1, targets: [engine('a')] })
  fleet.applySnapshot({ revision: 2, targets: [] }, { keepMissingMs: 1_900 })
  fleet.applyChanges({ revision: 3, changed: [engine('a')], removedIds: [] })
  await runtime.advance(2_000)
  t.is(fleet.serving('model').length, 1)
})

test('layers seen on an engine count before its entry shows them, for that start of it only', t => {
  const fleet = createFleetState({ runtime: createManualRuntime() })
  fleet.applySnapshot({ revision: 1, targets: [engine('a')] })
  fleet.noteLayers({ targetId: 'a', bornMs: 1, layers: { from: 0, to: 8 } })
  t.deepEqual(fleet.targets()[0]!.layers, { from: 0, to: 8 })
  t.is(fleet.seenLayers().length, 1)
  fleet.applyChanges({ revision: 2, changed: [{ ...engine('a'), bornMs: 2 }], removedIds: [] })
  t.is(fleet.targets()[0]!.layers, undefined)
})
