import test from 'ava'
import { createFleetState } from '../../src/fleet/createFleetState/index.js'
import { createGatewayMetrics } from '../../src/gateway/createGatewayMetrics/index.js'
import { createInternalHandler, readPeerState } from '../../src/gateway/_lib/internalPort.js'
import { listen } from '../../src/http/listen/index.js'
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import { buildEngine } from '../fakes/buildFleet.js'
import { createManualRuntime } from '../fakes/createManualRuntime.js'
import { createTestLog } from '../fakes/createTestLog.js'
import { startSilentPort } from '../fakes/startSilentPort.js'
import { TEST_CONFIGURATION } from '../fakes/startTestGateway.js'

const engine = (id: string) => buildEngine(id, 'north', 'small')

/** Starts the internal port of a peer, and a follower that reads the peer's state through it. */
async function startPair () {
  const runtime = createSystemRuntime()
  const [peer, follower] = [createFleetState({ runtime }), createFleetState({ runtime })]
  const server = await listen(createInternalHandler({ fleet: peer, metrics: createGatewayMetrics(), runtime, updateMetrics: () => {} }), { address: '127.0.0.1', port: 0 })
  const read = (isLongPoll: boolean): Promise<boolean> => readPeerState(server.address, { fleet: follower, runtime, log: createTestLog(), isLongPoll })
  return { peer, follower, read, [Symbol.asyncDispose]: () => server[Symbol.asyncDispose]() }
}

test('a host takes over configuration and targets of a peer', async t => {
  await using pair = await startPair()
  pair.peer.applyConfiguration(TEST_CONFIGURATION)
  pair.peer.applySnapshot({ revision: 4, targets: [engine('a'), engine('b')] })
  t.true(await pair.read(false))
  t.is(pair.follower.configuration()?.version, TEST_CONFIGURATION.version)
  t.deepEqual(pair.follower.targets().map(target => target.id), ['a', 'b'])
})

test('a long poll is answered when a target changes', async t => {
  await using pair = await startPair()
  pair.peer.applySnapshot({ revision: 4, targets: [engine('a'), engine('b')] })
  await pair.read(true)
  const answered = pair.read(true)
  pair.peer.applyChanges({ revision: 5, changed: [engine('a')], removedIds: [] })
  pair.peer.applyChanges({ revision: 6, changed: [], removedIds: ['b'] })
  t.true(await answered)
  t.is(pair.follower.fingerprint(), pair.peer.fingerprint())
  t.deepEqual(pair.follower.targets().map(target => target.id), ['a'])
})

test('a peer that is behind changes nothing and does not count as up to date', async t => {
  await using pair = await startPair()
  pair.peer.applySnapshot({ revision: 4, targets: [engine('a')] })
  pair.follower.applySnapshot({ revision: 9, targets: [engine('b')] })
  t.false(await pair.read(true))
  t.deepEqual(pair.follower.targets().map(target => target.id), ['b'])
})

test('a peer with an earlier revision of the same targets counts as up to date', async t => {
  await using pair = await startPair()
  pair.peer.applySnapshot({ revision: 4, targets: [engine('a')] })
  pair.follower.applySnapshot({ revision: 9, targets: [engine('a')] })
  t.true(await pair.read(false))
})

test('reading an unreachable peer reports a failure', async t => {
  const pair = await startPair()
  await pair[Symbol.asyncDispose]()
  t.false(await pair.read(false))
})

test('reading a peer over a silent link ends at its deadline', async t => {
  await using port = await startSilentPort()
  const clock = createManualRuntime()
  let isUpToDate: boolean | undefined
  readPeerState(port.address, { fleet: createFleetState({ runtime: clock }), runtime: clock, log: createTestLog() }).then(result => { isUpToDate = result })
  await clock.advance(500)
  await clock.settle()
  t.false(isUpToDate)
})

test('a peer that knows a later era of the store is taken over though its revision is lower, and one of an earlier era is not', async t => {
  await using pair = await startPair()
  pair.follower.applySnapshot({ era: 1, revision: 195, targets: [engine('a'), engine('b')] })
  pair.peer.applySnapshot({ era: 2, revision: 146, targets: [engine('a')] })
  t.true(await pair.read(false))
  t.deepEqual(pair.follower.targets().map(target => target.id), ['a'])
  t.deepEqual([pair.follower.era(), pair.follower.revision()], [2, 146])
  pair.follower.applySnapshot({ era: 3, revision: 20, targets: [engine('c')] })
  t.false(await pair.read(false))
  t.deepEqual(pair.follower.targets().map(target => target.id), ['c'])
})

test('a peer of an earlier version, which names no era, counts by its revision until the store has come back from a copy', async t => {
  await using pair = await startPair()
  pair.follower.applySnapshot({ era: 1, revision: 195, targets: [engine('a')] })
  pair.peer.applySnapshot({ revision: 196, targets: [engine('b')] })
  t.true(await pair.read(false))
  t.deepEqual([pair.follower.era(), pair.follower.revision()], [1, 196])
  pair.follower.applySnapshot({ era: 2, revision: 146, targets: [engine('c')] })
  t.false(await pair.read(false))
  t.deepEqual(pair.follower.targets().map(target => target.id), ['c'])
})
