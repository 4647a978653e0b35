import test from 'ava'
import type { FleetState } from '../../src/fleet/createFleetState/index.js'
import type { Target } from '../../src/fleet/types.js'
import { connectSocket } from '../../src/links/connectSocket/index.js'
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import { buildAnswer, buildStreamHead, encodeEvents, servePlatformEngine, STREAM_END, type EngineScript } from '../../standin/platform/servePlatformEngine/index.js'
import { countReceived, sendUntil, startServingHosts, startTwoHosts } from '../fakes/startTwoHosts.js'
import { sendCall, startTestGateway, TEST_CONFIGURATION } from '../fakes/startTestGateway.js'

const runtime = createSystemRuntime()

/** A model that one engine can hold. */
const configuration = { ...TEST_CONFIGURATION, services: TEST_CONFIGURATION.services.map(service => service.model === undefined ? service : { ...service, model: { ...service.model, layerMb: 100 } }) }

const engine = (id: string, address: string, bornMs = 1): Target => ({ id, service: 'model', address, failureDomain: 'north', bornMs, isLeaving: false, kind: 'large', slots: 134, layers: { from: 0, to: 80 } })
const service = (id: string, address: string): Target => ({ ...engine(id, address), service: 'orders' })

/** Answers a stream with the given header lines. */
const streaming = (...headers: string[]): EngineScript => (request, socket) => {
  const head = headers.reduce((lines, header) => lines.replace('\r\n', `\r\n${header}\r\n`), buildStreamHead(request))
  socket.end(head + encodeEvents([1, 2]) + STREAM_END)
}

/** Answers a plain call, or turns it away, with the header of a target that leaves. */
const leaving = (status = '200 OK', ...headers: string[]): EngineScript => (request, socket) => {
  socket.end(buildAnswer(request, 'done', { status, headers: ['Server-Leaving: 1', ...headers] }))
}

test('an engine that says in a stream that it leaves gets no further stream', async t => {
  await using leaver = await servePlatformEngine(streaming('Server-Leaving: 1'))
  await using other = await servePlatformEngine(streaming())
  await using gateway = await startTestGateway([engine('i-1', leaver.address)], { configuration })
  t.is((await gateway.send('/stream/x')).status, 200)
  gateway.parts.fleet.applyChanges({ revision: 2, changed: [{ ...engine('i-2', other.address), kind: 'small', failureDomain: 'south' }], removedIds: [] })
  for (let call = 0; call < 5; call++) t.is((await gateway.send('/stream/x')).status, 200)
  t.is(leaver.received.length, 1)
})

test('a target that says in any answer that it leaves gets no further call', async t => {
  for (const script of [leaving(), leaving('500 Internal Server Error'), leaving('503 Service Unavailable', 'Not-Executed: 1'), leaving('429 Too Many Requests', 'Not-Executed: 1')]) {
    await using leaver = await servePlatformEngine(script)
    await using gateway = await startTestGateway([service('o-1', leaver.address)])
    await gateway.send('/unsafe/x')
    for (let call = 0; call < 5; call++) t.is((await gateway.send('/unsafe/x')).status, 503)
    t.is(leaver.received.length, 1)
  }
})

test('a target that left by its own word is still leaving when its entry comes back, and another start of it is not', async t => {
  await using leaver = await servePlatformEngine(leaving())
  const target = service('o-1', leaver.address)
  await using gateway = await startTestGateway([target])
  const { fleet } = gateway.parts
  t.is((await gateway.send('/safe/x')).status, 200)
  fleet.applyChanges({ revision: 2, changed: [], removedIds: ['o-1'] })
  fleet.applyChanges({ revision: 3, changed: [target], removedIds: [] })
  t.is((await gateway.send('/safe/x')).status, 503)
  fleet.applyChanges({ revision: 4, changed: [{ ...target, bornMs: 2 }], removedIds: [] })
  t.is((await gateway.send('/safe/x')).status, 200)
})

test('an answer of another target at the same address does not say that the expected one leaves', async t => {
  await using other = await servePlatformEngine((request, socket) => {
    socket.end(buildAnswer(request, '', { status: '421 Misdirected Request', headers: ['Not-Executed: 1', 'Server-Leaving: 1'] }))
  })
  await using gateway = await startTestGateway([service('o-1', other.address)])
  await gateway.send('/safe/x')
  t.is(gateway.parts.fleet.servingTargets('orders').length, 1)
})

test('a target that says that it leaves gets no more calls of hosts that hear of it', async t => {
  await using hosts = await startServingHosts()
  for (const target of hosts.targets) target.setScript(leaving())
  while ((await sendCall(hosts.cutHost.address, '/safe/x', {}, '')).status === 200);
  const countHeard = (): number => hosts.peer.log.recent().filter(({ name, source }) => name === 'targetLeaving' && source === 'peer').length
  while (countHeard() < hosts.targets.length) await new Promise(resolve => { setImmediate(resolve) })
  const before = countReceived(hosts)
  t.is((await sendCall(hosts.peer.address, '/safe/x', {}, '')).status, 503)
  t.is(countReceived(hosts) - before, 0)
})

test('a host that is cut off sends nothing through a peer to targets that leave by what the peer knows, and does not suspect them', async t => {
  await using hosts = await startTwoHosts({ areDigestsLost: true })
  await sendUntil(hosts.peer.address, 200)
  await sendUntil(hosts.cutHost.address, 200)
  for (const target of hosts.targets) target.setScript(leaving())
  while ((await sendCall(hosts.peer.address, '/safe/x', {}, '')).status === 200);
  hosts.cut(true)
  const before = countReceived(hosts)
  for (let call = 0; call < 10; call++) await sendCall(hosts.cutHost.address, call % 2 === 0 ? '/safe/x' : '/unsafe/x', {}, '')
  t.is(countReceived(hosts) - before, 0)
  const events = hosts.cutHost.log.recent()
  t.is(events.filter(({ name, source }) => name === 'targetLeaving' && source === 'peer').length, hosts.targets.length)
  t.deepEqual(events.filter(({ name }) => name === 'targetSuspected'), [])
})

/** Connects to targets, and tells the address while the connection opens. */
const connectAfter = (onConnect: (address: string) => void) => async (address: string) => {
  const socket = await connectSocket(address, { timeoutMs: 60_000, runtime })
  onConnect(address)
  return socket
}

/** Ways in which a host learns, while a connection opens, that its target leaves or is gone. */
const WAYS_TO_LEAVE: Record<string, (fleet: FleetState, target: Target) => void> = {
  'its own word': (fleet, target) => { fleet.recordLeaving(target) },
  'its entry': (fleet, target) => fleet.applyChanges({ revision: 2, changed: [{ ...target, isLeaving: true }], removedIds: [] }),
  'the removal of its entry': (fleet, target) => fleet.applyChanges({ revision: 2, changed: [], removedIds: [target.id] }),
  'another start': (fleet, target) => fleet.applyChanges({ revision: 2, changed: [{ ...target, bornMs: 2, isLeaving: true }], removedIds: [] })
}

for (const [way, leave] of Object.entries(WAYS_TO_LEAVE)) {
  test(`a call goes to another target when the chosen one leaves by ${way} while the connection opens`, async t => {
    await using leaver = await servePlatformEngine(leaving())
    await using other = await servePlatformEngine((request, socket) => { socket.end(buildAnswer(request, 'done')) })
    const target = service('o-1', leaver.address)
    await using gateway = await startTestGateway([target, { ...service('o-2', other.address), failureDomain: 'south' }], {
      connectDirectly: connectAfter(address => { if (address === leaver.address) leave(gateway.parts.fleet, target) })
    })
    t.is((await gateway.send('/unsafe/x')).status, 200)
    t.deepEqual([leaver.received.length, other.received.length], [0, 1])
    t.is(gateway.parts.suspicions.slownessOf('o-1'), 1)
  })

  test(`a stream that no target has got yet costs no attempt when the chosen engine leaves by ${way} while the connection opens`, async t => {
    await using leaver = await servePlatformEngine(streaming())
    await using other = await servePlatformEngine(streaming())
    const target = engine('i-1', leaver.address)
    await using gateway = await startTestGateway([target, { ...engine('i-2', other.address), failureDomain: 'south' }], {
      configuration: { ...configuration, routes: configuration.routes.map(route => ({ ...route, maxAttempts: 1 })) },
      connectDirectly: connectAfter(address => { if (address === leaver.address) leave(gateway.parts.fleet, target) })
    })
    while (gateway.parts.budget.trySpend('model'));
    t.is((await gateway.send('/stream/x')).status, 200)
    t.deepEqual([leaver.received.length, other.received.length], [0, 1])
    t.is(gateway.parts.suspicions.slownessOf('i-1'), 1)
  })
}

test('a begun stream does not resume at an engine that leaves while the connection opens', async t => {
  await using first = await servePlatformEngine((request, socket) => {
    socket.write(buildStreamHead(request) + encodeEvents([1]), () => socket.resetAndDestroy())
  })
  await using leaver = await servePlatformEngine(streaming())
  await using other = await servePlatformEngine((request, socket) => { socket.end(buildStreamHead(request) + encodeEvents([2, 3]) + STREAM_END) })
  const left = { ...engine('i-2', leaver.address), failureDomain: 'south' }
  const last = { ...engine('i-3', other.address), failureDomain: 'south', slots: 1, kind: 'small' }
  await using gateway = await startTestGateway([engine('i-1', first.address), left], {
    configuration,
    connectDirectly: connectAfter(address => { if (address === leaver.address) gateway.parts.fleet.applyChanges({ revision: 2, changed: [last], removedIds: ['i-2'] }) })
  })
  const { body, isComplete } = await gateway.send('/stream/x')
  t.deepEqual([...body.matchAll(/id: ?(\d+)/g)].map(([, id]) => id), ['1', '2', '3'])
  t.true(isComplete)
  t.is(leaver.received.length, 0)
})

test('a stream is not sent over a path of which a later engine has left while the connection opened', async t => {
  await using first = await servePlatformEngine(streaming())
  await using later = await servePlatformEngine(streaming())
  await using other = await servePlatformEngine(streaming())
  const half = { ...engine('i-2', later.address), layers: { from: 40, to: 80 } }
  await using gateway = await startTestGateway([{ ...engine('i-1', first.address), layers: { from: 0, to: 40 } }, half], {
    configuration,
    connectDirectly: connectAfter(() => gateway.parts.fleet.applyChanges({ revision: 2, changed: [{ ...half, isLeaving: true }, { ...half, id: 'i-3', address: other.address }], removedIds: [] }))
  })
  t.is((await gateway.send('/stream/x')).status, 200)
  t.deepEqual(first.received.map(({ headers }) => headers['hop-count']!.includes(later.address)), [false])
})
