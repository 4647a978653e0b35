import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createMemberView } from './index.js'

const setUp = () => {
  const runtime = createManualRuntime()
  return { runtime, view: createMemberView({ ownIp: '1', ownDomain: 'north', runtime }) }
}

test('a host is alive while it is heard or reported with a recent sign of life', async t => {
  const { runtime, view } = setUp()
  view.recordHeard('2', 'north')
  view.recordReported([{ ip: '3', failureDomain: 'south', ageMs: 9_000 }, { ip: '1', failureDomain: 'north', ageMs: 0 }], '2')
  t.deepEqual(view.alive().map(member => member.ip), ['2', '3'])
  await runtime.advance(1_500)
  t.deepEqual(view.alive().map(member => member.ip), ['2'])
})

test('a silent neighbor is left out although others report it, until it is heard again', async t => {
  const { runtime, view } = setUp()
  view.recordHeard('2', 'north')
  view.recordSilent('2')
  view.recordReported([{ ip: '2', failureDomain: 'north', ageMs: 0 }], '3')
  t.deepEqual(view.alive(), [])
  t.deepEqual(view.silentAddresses(), ['2'])
  await runtime.advance(10)
  view.recordHeard('2', 'north')
  t.deepEqual(view.alive().map(member => member.ip), ['2'])
})

test('reports take turns, and a host is not told what it reported itself', t => {
  const { view } = setUp()
  const members = Array.from({ length: 30 }, (_, index) => ({ ip: `m${index}`, failureDomain: 'north', ageMs: 0 }))
  view.recordReported(members, '2')
  const told = new Set([1, 2, 3].flatMap(() => view.takeReport('3', { count: 10 })).map(member => member.ip))
  t.true(told.size >= 20)
  t.deepEqual(view.takeReport('2', { count: 10 }), [])
})
