import test from 'ava'
import { buildEngine, TEST_MODEL } from '../../../test/fakes/buildFleet.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createFleetState } from '../../fleet/createFleetState/index.js'
import { createSuspicions } from '../../suspicion/createSuspicions/index.js'
import { createCoverageCheck } from './index.js'

test('coverage is computed once for all calls within 100 ms', async t => {
  const runtime = createManualRuntime()
  const fleet = createFleetState({ runtime })
  const suspicions = createSuspicions({ runtime })
  let reads = 0
  const counted = { ...fleet, servingTargets: (service: string) => { reads++; return fleet.servingTargets(service) } }
  const check = createCoverageCheck({ fleet: counted, suspicions, runtime })
  const service = { name: 'model', model: TEST_MODEL }
  fleet.applySnapshot({ revision: 1, targets: [buildEngine('a', 'north', 'large', { from: 0, to: 40 }), buildEngine('b', 'south', 'large', { from: 40, to: 80 })] })
  for (let count = 0; count < 500; count++) t.deepEqual(check(service), { isWhole: true, isWithinCrossingLimit: true })
  t.is(reads, 1)
  suspicions.note('b', 'unreachable')
  await runtime.advance(100)
  t.deepEqual(check(service), { isWhole: false, isWithinCrossingLimit: false })
})

test('an engine whose layers lie outside of the model covers none', t => {
  const runtime = createManualRuntime()
  const fleet = createFleetState({ runtime })
  const check = createCoverageCheck({ fleet, suspicions: createSuspicions({ runtime }), runtime })
  fleet.applySnapshot({ revision: 1, targets: [buildEngine('a', 'north', 'large', { from: 0, to: 10_000 })] })
  t.deepEqual(check({ name: 'model', model: TEST_MODEL }), { isWhole: false, isWithinCrossingLimit: false })
})

test('a layer that an engine has dropped is missed although the engines are the same', async t => {
  const runtime = createManualRuntime()
  const fleet = createFleetState({ runtime })
  const check = createCoverageCheck({ fleet, suspicions: createSuspicions({ runtime }), runtime })
  const service = { name: 'model', model: TEST_MODEL }
  const engine = buildEngine('b', 'south', 'large', { from: 40, to: 80 })
  fleet.applySnapshot({ revision: 1, targets: [buildEngine('a', 'north', 'large', { from: 0, to: 40 }), engine] })
  t.true(check(service).isWhole)
  await runtime.advance(100)
  t.true(check(service).isWhole)
  fleet.recordSeenLayers({ targetId: 'b', bornMs: engine.bornMs, layers: { from: 41, to: 80 } })
  await runtime.advance(100)
  t.false(check(service).isWhole)
})
