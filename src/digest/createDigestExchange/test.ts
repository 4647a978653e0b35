import test from 'ava'
import { createSimulatedHosts, type SimulatedHost } from '../../../test/fakes/createSimulatedHosts.js'
import { buildEngine } from '../../../test/fakes/buildFleet.js'
import { hashLoadKey } from '../../path/hashLoadKey/index.js'
import type { RequestTraits } from '../../crash/types.js'
import { decodeDigest, encodeDigest, type Digest } from '../types.js'

const requestOf = (...promptParts: string[]): RequestTraits => ({ service: 'model', fingerprint: promptParts.join('-'), promptParts })

const SIZE = { promptTokens: 100, outputTokens: 50 }
const pathOf = (id: string) => [{ target: buildEngine(id, 'north', 'large'), from: 0, to: 80 }]
const DIGEST: Digest = {
  host: 'a', failureDomain: 'north', startedMs: 1, statePort: 80, configurationVersion: 1, targetsRevision: 1, targetsFingerprint: '', isStoreConnected: true, leaseFencing: 0, isImpaired: true, sequence: 1, role: 'mesh', hostCount: 2, loadAgeMs: 30, reader: null, notices: { suspicions: [], seenLayers: [], limits: [{ targetId: 'i-1', limitPerS: 12.8, ageMs: 4 }, { targetId: 'i-2', limitPerS: null, ageMs: 0 }], leaving: [{ targetId: 'i-3', bornMs: 5 }] }, crashes: { sightings: [{ service: 'model', part: 'bad', request: '1', targetId: 'i-1', bornMs: 1, ageMs: 20 }], answered: [{ service: 'model', part: '5c1e', ageMs: 3 }] }, members: [{ ip: '10.1.0.1', failureDomain: 'a=b;c', ageMs: 1_200 }], load: new Map([[hashLoadKey('i-1'), { tokenLayers: 9_440, sequences: 2, firstSequences: 1 }], [7, { tokenLayers: 2 ** 40, sequences: 300, firstSequences: 0 }]])
}

/** Starts hosts of one failure domain, each of which knows the first one. */
function startHosts (versions: ReadonlyArray<{ version: number, isStoreConnected: boolean }>) {
  const cut = new Set<string>()
  const network = createSimulatedHosts({ isDelivered: (from, to) => !cut.has(from) && !cut.has(to) })
  const hosts = versions.map(({ version, isStoreConnected }, index) => {
    const host = network.startHost(`${index + 1}`, 'north', index === 0 ? [] : ['1'])
    Object.assign(host.state, { configurationVersion: version, isStoreConnected })
    return host
  })
  return { ...network, hosts: hosts as [SimulatedHost, SimulatedHost, SimulatedHost], cut }
}

test('hosts learn of each other through a third one', t => {
  const { hosts: [a, b], advance } = startHosts([1, 1, 1].map(version => ({ version, isStoreConnected: true })))
  advance(1_000)
  t.deepEqual(a.exchange.peers().map(peer => peer.ip).sort(), ['2', '3'])
  t.is(b.exchange.hostCount(), 3)
})

test('a host without a connection to the store reads the state of a neighbor that is ahead', t => {
  const { hosts: [ahead, behind], advance } = startHosts([{ version: 5, isStoreConnected: true }, { version: 4, isStoreConnected: false }])
  behind.isFollowing = false
  advance(250)
  t.deepEqual(behind.fetched.slice(0, 1), ['1:80'])
  t.deepEqual(ahead.fetched, [])
})

test('a host that follows the store waits for its own changes first', t => {
  const { hosts: [, behind], advance } = startHosts([{ version: 5, isStoreConnected: true }, { version: 4, isStoreConnected: true }])
  advance(350)
  t.deepEqual(behind.fetched, [])
  advance(300)
  t.deepEqual(behind.fetched.slice(0, 1), ['1:80'])
})

test('a host reads the state of a neighbor that knows a later era of the store, though its revision is lower', t => {
  const { hosts: [later, earlier], advance } = startHosts([1, 1].map(version => ({ version, isStoreConnected: false })))
  Object.assign(later.state, { targetsEra: 2, targetsRevision: 5, targetsFingerprint: 'x' })
  Object.assign(earlier.state, { targetsEra: 1, targetsRevision: 50, targetsFingerprint: 'y' })
  for (const host of [later, earlier]) host.isFollowing = false
  advance(250)
  t.deepEqual(earlier.fetched.slice(0, 1), ['1:80'])
  t.deepEqual(later.fetched, [])
})

test('a neighbor that stops sending is removed with its load, and malformed digests are ignored', t => {
  const { hosts: [a, b], cut, deliver, advance } = startHosts([1, 1].map(version => ({ version, isStoreConnected: true })))
  b.load.claim(pathOf('i-1'), SIZE)
  advance(600)
  t.is(a.load.loadOf('i-1').sequences, 1)
  deliver('1', '9', Buffer.from('{"host":'))
  deliver('1', '9', Buffer.from('{"host":"x"}\n'))
  t.is(a.exchange.peers().length, 1)
  t.is(a.log.recent().filter(event => event.name === 'peerMessageInvalid').length, 2)
  cut.add('2')
  advance(1_300)
  t.deepEqual(a.log.recent().filter(event => event.name === 'memberLost').map(event => event.member), ['host 2'])
  t.is(a.exchange.peers().length, 0)
  t.is(a.load.loadOf('i-1').sequences, 0)
})

test('a replayed digest changes nothing', t => {
  const { hosts: [a], deliver } = startHosts([{ version: 1, isStoreConnected: true }])
  const [first, second] = [1, 2].map(sequence => encodeDigest({ ...DIGEST, sequence, load: new Map([[hashLoadKey('i-1'), { tokenLayers: sequence, sequences: 1, firstSequences: 0 }]]) })) as [Buffer, Buffer]
  for (const bytes of [first, second, first]) deliver('1', '9', bytes)
  t.is(a.load.loadOf('i-1').tokenLayers, 2)
  deliver('1', '9', encodeDigest({ ...DIGEST, startedMs: 0, sequence: 9 }))
  t.is(a.load.loadOf('i-1').tokenLayers, 2)
})

test('a digest survives encoding, and a truncated one or one of another format is rejected', t => {
  const bytes = encodeDigest(DIGEST)
  t.deepEqual(decodeDigest(bytes), DIGEST)
  for (let length = 0; length < bytes.length; length++) t.is(decodeDigest(bytes.subarray(0, length)), undefined)
  t.is(decodeDigest(Buffer.concat([bytes, Buffer.from([0])])), undefined)
  const landedFormat = { host: 'a', startedMs: 1, sequence: 1, failureDomain: 'north', statePort: 80, configurationVersion: 1, targetsRevision: 1, targetsFingerprint: '', isStoreConnected: true, leaseFencing: 0, load: 'i-1,9440,2,1', suspicions: [], seenLayers: [], peers: ['10.1.0.1'] }
  t.is(decodeDigest(Buffer.from(JSON.stringify(landedFormat))), undefined)
})

test('a suspicion reaches every host once', t => {
  const network = createSimulatedHosts()
  network.startAll(30, ['east', 'north', 'south'])
  network.advance(4_000)
  const [origin, ...others] = network.hosts as [SimulatedHost, ...SimulatedHost[]]
  origin.ownNotices.suspicions.push({ targetId: 'i-1', ageMs: 0, leftMs: 2_500, isUnfit: true })
  origin.exchange.sendNow()
  origin.ownNotices.suspicions = []
  network.advance(1_000)
  t.deepEqual(others.map(host => host.receivedNotices.flatMap(notices => notices.suspicions).map(suspicion => suspicion.targetId)), others.map(() => ['i-1']))
})

test('evidence on a prompt that crashes engines reaches all of 195 hosts in a second, and a host that starts later', t => {
  const network = createSimulatedHosts({ seed: 3 })
  network.startAll(195, ['north', 'east', 'south'])
  network.advance(5_000)
  for (const index of [10, 90, 170]) network.hosts[index]!.crashEvidence.noteCrash(requestOf('5c1e', 'bad', String(index)), buildEngine(`i-${index}`, 'north', 'large'))
  network.hosts[50]!.crashEvidence.noteAnswered(requestOf('5c1e', '1'))
  network.advance(1_000)
  const find = (host: SimulatedHost) => host.crashEvidence.findCrashing(requestOf('5c1e', 'bad', '9'))
  t.deepEqual(network.hosts.filter(host => find(host)?.parts.join() !== 'bad').map(({ ip }) => ip), [])
  network.advance(3_000)
  const late = network.startHost('10.1.0.250', 'north', network.hosts.slice(0, 3).map(({ ip }) => ip))
  network.advance(2_000)
  t.is(find(late)?.crashes, 3)
})

test('a request that crashes engines at three of 195 hosts is known to all of them in a second', t => {
  const network = createSimulatedHosts({ seed: 4 })
  network.startAll(195, ['north', 'east', 'south'])
  network.advance(5_000)
  for (const index of [10, 90, 170]) network.hosts[index]!.crashEvidence.noteCrash(requestOf('5c1e', '1'), buildEngine(`i-${index}`, 'north', 'large'))
  network.advance(1_000)
  t.deepEqual(network.hosts.filter(host => host.crashEvidence.findCrashing(requestOf('5c1e', '1'))?.kind !== 'request').map(({ ip }) => ip), [])
  t.deepEqual(network.hosts.filter(host => host.crashEvidence.findCrashing(requestOf('5c1e', '2')) !== undefined).map(({ ip }) => ip), [])
})
