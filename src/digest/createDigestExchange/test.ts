import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import { digestSchema, encodeDigest, type Digest, type DigestSocket } from '../types.js'
import { createDigestExchange } from './index.js'

/** Creates hosts on one in-memory network; those in `cut` neither send nor receive. */
function createNetwork () {
  const runtime = createManualRuntime()
  const listeners = new Map<string, (ip: string, bytes: Buffer) => void>()
  const cut = new Set<string>()
  const controller = new AbortController()
  const host = (ip: string, state: { version: number, isStoreConnected: boolean }) => {
    const storeProgress = () => ({ configurationVersion: state.version, targetsRevision: 0, targetsFingerprint: '', isStoreConnected: state.isStoreConnected })
    const fetched: string[] = []
    const lost: string[] = []
    const socket: DigestSocket = {
      send (to, bytes) { if (!cut.has(ip) && !cut.has(to)) queueMicrotask(() => listeners.get(to)?.(ip, bytes)) },
      onMessage: listener => { listeners.set(ip, listener) },
      async [Symbol.asyncDispose] () {}
    }
    const exchange = createDigestExchange({
      socket,
      ownIp: ip,
      runtime,
      log: createTestLog(),
      signal: controller.signal,
      buildDigest: (): Omit<Digest, 'sequence' | 'peers'> => ({
        host: `host ${ip}`, failureDomain: 'north', startedMs: 1, statePort: 80, ...storeProgress(), leaseFencing: 0, load: {}, suspicions: [], seenLayers: []
      }),
      storeProgress,
      isFollowingStore: () => state.isStoreConnected,
      onDigest: () => {},
      onPeerLost: name => { lost.push(name) },
      fetchState: async address => { fetched.push(address) }
    })
    return { exchange, fetched, lost, state }
  }
  return { runtime, cut, controller, host, deliver: (to: string, from: string, bytes: Buffer) => listeners.get(to)?.(from, bytes) }
}

test('hosts learn of each other through a third one', async t => {
  const { runtime, controller, host } = createNetwork()
  const [a, b, c] = ['1', '2', '3'].map(ip => host(ip, { version: 1, isStoreConnected: true })) as [ReturnType<typeof host>, ReturnType<typeof host>, ReturnType<typeof host>]
  a.exchange.addAddress('2')
  c.exchange.addAddress('2')
  await runtime.advance(1_000)
  t.deepEqual(a.exchange.peers().map(peer => peer.ip).sort(), ['2', '3'])
  t.is(b.exchange.countHosts(10_000), 3)
  controller.abort()
})

test('a host without a connection to the store reads the state of a peer that is ahead', async t => {
  const { runtime, controller, host } = createNetwork()
  const ahead = host('1', { version: 5, isStoreConnected: true })
  const behind = host('2', { version: 4, isStoreConnected: false })
  ahead.exchange.addAddress('2')
  await runtime.advance(150)
  t.deepEqual(behind.fetched.slice(0, 1), ['1:80'])
  t.deepEqual(ahead.fetched, [])
  controller.abort()
})

test('a host that is connected to the store waits for its own watch first', async t => {
  const { runtime, controller, host } = createNetwork()
  const ahead = host('1', { version: 5, isStoreConnected: true })
  const behind = host('2', { version: 4, isStoreConnected: true })
  ahead.exchange.addAddress('2')
  await runtime.advance(250)
  t.deepEqual(behind.fetched, [])
  await runtime.advance(300)
  t.deepEqual(behind.fetched.slice(0, 1), ['1:80'])
  controller.abort()
})

test('a peer that stops sending is removed, and malformed digests are ignored', async t => {
  const { runtime, cut, controller, host, deliver } = createNetwork()
  const a = host('1', { version: 1, isStoreConnected: true })
  host('2', { version: 1, isStoreConnected: true }).exchange.addAddress('1')
  await runtime.advance(300)
  t.is(a.exchange.peers().length, 1)
  deliver('1', '9', Buffer.from('{"host":'))
  deliver('1', '9', Buffer.from('{"host":"x"}'))
  t.is(a.exchange.peers().length, 1)
  cut.add('2')
  await runtime.advance(1_700)
  t.deepEqual(a.lost, ['host 2'])
  t.is(a.exchange.peers().length, 0)
  controller.abort()
})

test('the load of a digest survives encoding, and a malformed load is rejected', t => {
  const digest: Digest = {
    host: 'a', failureDomain: 'north', startedMs: 1, sequence: 1, statePort: 80, configurationVersion: 1, targetsRevision: 1, targetsFingerprint: '', isStoreConnected: true, leaseFencing: 0, suspicions: [], seenLayers: [], peers: [], load: { 'i-1': { tokenLayers: 9_440, sequences: 2, firstSequences: 1 }, 'link east north': { tokenLayers: 944, sequences: 1, firstSequences: 0 } }
  }
  const sent = JSON.parse(encodeDigest(digest).toString())
  t.deepEqual(digestSchema.parse(sent), digest)
  t.deepEqual(digestSchema.parse({ ...sent, load: '' }).load, {})
  for (const load of ['i-1', 'i-1,2,3', 'i-1,2,3,x', 'i-1,2,3,4;', [['i-1', 1, 2, 3]]]) t.false(digestSchema.safeParse({ ...sent, load }).success)
})
