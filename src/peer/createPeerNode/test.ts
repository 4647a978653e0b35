import test from 'ava'
import { createPeerNetwork } from '../../../test/fakes/createPeerNetwork.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import { createHybridClock } from '../../clock/createHybridClock/index.js'
import { buildConfiguration } from '../../configuration/buildConfiguration/index.js'
import { createConfigurationHolder } from '../../configuration/createConfigurationHolder/index.js'
import { createMemberTable } from '../../member/createMemberTable/index.js'
import type { Member } from '../../member/types.js'
import { createTargetDirectory } from '../../target/createTargetDirectory/index.js'
import { createPeerNode } from './index.js'

const createMember = (index: number, incarnation = 1): Member => ({
  host: `host-${index}`,
  role: 'entry',
  address: `10.0.0.${index}:${incarnation}`,
  operatorUrl: '',
  failureDomain: 'a',
  incarnation,
  heartbeat: 0,
  status: 'alive',
  revisionInForce: 0
})

const createConfiguration = (revision: number) => buildConfiguration(
  { revision, scopes: { timeouts: revision }, nonce: 'n' }, new Map([['timeouts', { connectMs: 100 + revision }]]))

function setUp (t: { teardown: (run: () => void) => void }) {
  const runtime = createManualRuntime()
  const network = createPeerNetwork(runtime)

  function startNode (index: number, options: { incarnation?: number, knownMembers?: number[] } = {}) {
    const self = createMember(index, options.incarnation)
    const log = createTestLog({ host: self.host, nowMs: runtime.nowMs })
    const controller = new AbortController()
    const table = createMemberTable(self, { runtime, log })
    const holder = createConfigurationHolder({ runtime, log })
    const directory = createTargetDirectory({ holder, runtime, log })
    const clock = createHybridClock({ nowMs: runtime.nowMs })
    const node = createPeerNode({ table, holder, directory, clock, connect: network.connectFrom(self.address), intervalMs: 500, runtime, log, signal: controller.signal })
    table.merge((options.knownMembers ?? []).map(other => createMember(other)))
    network.listen(self.address, node.accept)
    node.run().catch((error: Error) => log.emit('unexpectedError', { cause: error.message }))
    const stop = (): void => {
      controller.abort()
      network.stop(self.address)
    }
    t.teardown(stop)
    const statusOf = (key: string): string | undefined => table.all().find(member => `${member.host}-${member.role}` === key)?.status
    return { table, holder, directory, log, stop, statusOf, key: `${self.host}-entry` }
  }

  const startAll = (count: number) => Array.from({ length: count }, (_, index) => startNode(index + 1, { knownMembers: index === 0 ? [] : [1] }))
  return { runtime, network, startNode, startAll }
}

test('members that know only one other find all of them', async t => {
  const { runtime, startAll } = setUp(t)
  const nodes = startAll(12)
  await runtime.advance(5_000)
  t.deepEqual(nodes.map(node => node.table.live().length), nodes.map(() => 12))
})

test('a stopped member is dead in every table and nobody else is', async t => {
  const { runtime, startAll } = setUp(t)
  const nodes = startAll(8)
  await runtime.advance(5_000)
  nodes[3]!.stop()
  await runtime.advance(16_000)
  const others = nodes.filter(node => node !== nodes[3])
  t.deepEqual(others.map(node => node.table.live().length), others.map(() => 7))
  t.deepEqual(others.map(node => node.statusOf(nodes[3]!.key)), others.map(() => 'dead'))
})

test('both sides of a network partition rejoin with higher incarnations once it ends', async t => {
  const { runtime, network, startAll } = setUp(t)
  const nodes = startAll(6)
  await runtime.advance(5_000)
  network.partition(address => Number(address.slice(7, 8)) <= 3)
  await runtime.advance(30_000)
  t.deepEqual(nodes.map(node => node.table.live().length), nodes.map(() => 3))
  network.partition(() => 0)
  await runtime.advance(30_000)
  t.deepEqual(nodes.map(node => node.table.live().length), nodes.map(() => 6))
  t.true(nodes.some(node => node.table.self().incarnation > 1))
})

test('a replaced host is known under its new address', async t => {
  const { runtime, startNode, startAll } = setUp(t)
  const nodes = startAll(5)
  await runtime.advance(5_000)
  nodes[4]!.stop()
  startNode(5, { incarnation: 2, knownMembers: [1] })
  await runtime.advance(5_000)
  const addresses = nodes.slice(0, 4).map(node => node.table.all().find(member => member.host === 'host-5')?.address)
  t.deepEqual(addresses, addresses.map(() => '10.0.0.5:2'))
})

test('a configuration reaches members whose store watch is silent', async t => {
  const { runtime, startAll } = setUp(t)
  const nodes = startAll(8)
  await runtime.advance(5_000)
  nodes[0]!.holder.applyIfNewer(createConfiguration(7), 'store')
  await runtime.advance(5_000)
  t.deepEqual(nodes.map(node => node.holder.current().timeouts.connectMs), nodes.map(() => 107))
  t.deepEqual(nodes[0]!.table.live().map(member => member.revisionInForce), nodes.map(() => 7))
})

test('a notice of a leaving target reaches every member within three seconds', async t => {
  const { runtime, startAll } = setUp(t)
  const nodes = startAll(8)
  await runtime.advance(5_000)
  nodes[0]!.directory.applyNotices([{ target: 'e1', address: '10.1.0.1:1', state: 'leaving', remainingMs: 0 }])
  await runtime.advance(3_000)
  t.true(nodes.every(node => node.directory.noticesAfter(0).length === 1))
})

test('a member table in steady state is not sent again', async t => {
  const { runtime, network, startAll } = setUp(t)
  startAll(8)
  await runtime.advance(10_000)
  network.deliveredFrames.length = 0
  await runtime.advance(10_000)
  const sent = network.deliveredFrames.flatMap(({ frame }) => frame.body.case === 'gossip' ? [...frame.body.value.members, ...frame.body.value.updates] : [])
  t.is(sent.length, 0)
})

test('frames stay within the limit when a daemon receives a large member table', async t => {
  const { runtime, network, startNode } = setUp(t)
  const knownMembers = Array.from({ length: 300 }, (_, index) => index + 10)
  startNode(1, { knownMembers })
  startNode(2, { knownMembers: [1] })
  await runtime.advance(2_000)
  const counts = network.deliveredFrames.map(({ frame }) => frame.body.case === 'gossip' ? frame.body.value.members.length + frame.body.value.updates.length : 0)
  t.is(Math.max(...counts), 64)
})

test('a stream that falls silent is replaced and its member stays alive', async t => {
  const { runtime, network, startAll } = setUp(t)
  const nodes = startAll(4)
  await runtime.advance(5_000)
  network.silenceOpen()
  await runtime.advance(20_000)
  t.deepEqual(nodes.map(node => node.table.live().length), nodes.map(() => 4))
  t.true(nodes.some(node => node.log.recent().some(event => event.name === 'peerSilent')))
})

test('a leaving member that stops is dead without being suspected first', async t => {
  const { runtime, startAll } = setUp(t)
  const nodes = startAll(5)
  await runtime.advance(5_000)
  nodes[2]!.table.leave()
  await runtime.advance(2_000)
  t.is(nodes[0]!.statusOf(nodes[2]!.key), 'leaving')
  nodes[2]!.stop()
  await runtime.advance(6_000)
  t.is(nodes[0]!.statusOf(nodes[2]!.key), 'dead')
  t.false(nodes.some(node => node.log.recent().some(event => event.name === 'memberSuspected')))
})

test('a dead member is forgotten after ten minutes', async t => {
  const { runtime, startAll } = setUp(t)
  const nodes = startAll(2)
  await runtime.advance(5_000)
  nodes[1]!.stop()
  await runtime.advance(15_000)
  t.is(nodes[0]!.statusOf(nodes[1]!.key), 'dead')
  await runtime.advance(600_000)
  t.is(nodes[0]!.statusOf(nodes[1]!.key), undefined)
})
