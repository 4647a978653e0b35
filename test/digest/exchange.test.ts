import test from 'ava'
import { buildEngine } from '../fakes/buildFleet.js'
import { createSimulatedHosts, type SimulatedHost } from '../fakes/createSimulatedHosts.js'

const DOMAINS = ['east', 'north', 'south', 'west', 'centre']
const ENGINES = Array.from({ length: 60 }, (_, index) => buildEngine(`i-${index}`, DOMAINS[index % DOMAINS.length]!, 'large'))
const SIZE = { promptTokens: 760, outputTokens: 144 }

/** Mean time between requests of one host, and how long each lasts, in milliseconds. */
const ARRIVAL_MS = 700
const REQUEST_MS = 2_500

const STAGES = 5
const SETTLED_MS = 10_000
const MEASURED_MS = 2_000
const STEP_MS = 10
const PROBE_INTERVAL_MS = 100

/** Hundreds of hosts in one thread take a minute, and several beside other tests. */
const SIMULATION_TIMEOUT_MS = 600_000

type Network = ReturnType<typeof createSimulatedHosts>

/** Lets every host send requests over random engines. */
function sendRequests (network: Network): void {
  for (const host of network.hosts) {
    const sendNext = (): void => {
      const path = Array.from({ length: STAGES }, (_, index) => ({ target: ENGINES[Math.floor(network.random() * ENGINES.length)]!, from: index * 16, to: index * 16 + 16 }))
      const claim = host.load.claim(path, SIZE)
      network.schedule(REQUEST_MS, () => claim[Symbol.dispose]())
      network.schedule(-Math.log(1 - network.random()) * ARRIVAL_MS, sendNext)
    }
    network.schedule(network.random() * ARRIVAL_MS, sendNext)
  }
}

/** Ages of requests at the moments at which other hosts learn of them, in milliseconds and sorted, and how many were not learned. */
function measureAges (network: Network): { agesMs: number[], notLearned: number } {
  const agesMs: number[] = []
  const probes: Array<{ id: string, atMs: number, waiting: Set<SimulatedHost> }> = []
  for (let elapsedMs = 0; elapsedMs < MEASURED_MS + 1_000; elapsedMs += STEP_MS) {
    if (elapsedMs % PROBE_INTERVAL_MS === 0 && elapsedMs < MEASURED_MS) {
      const sender = network.hosts[Math.floor(network.random() * network.hosts.length)]!
      const id = `probe-${elapsedMs}`
      sender.load.claim([{ target: buildEngine(id, 'north', 'large'), from: 0, to: 80 }], SIZE)
      probes.push({ id, atMs: network.nowMs(), waiting: new Set(network.hosts.filter(host => host !== sender)) })
    }
    network.advance(STEP_MS)
    for (const { id, atMs, waiting } of probes) {
      for (const host of waiting) {
        if (host.load.loadOf(id).sequences === 0) continue
        waiting.delete(host)
        agesMs.push(network.nowMs() - atMs)
      }
    }
  }
  return { agesMs: agesMs.sort((a, b) => a - b), notLearned: probes.reduce((sum, { waiting }) => sum + waiting.size, 0) }
}

const countEvents = (hosts: readonly SimulatedHost[], name: string): number => hosts.reduce((sum, host) => sum + host.log.recent().filter(event => event.name === name).length, 0)

/** Starts a fleet, and measures age and cost once it has settled. */
function measureFleet (count: number) {
  const network = createSimulatedHosts({ seed: count })
  network.startAll(count, DOMAINS)
  network.advance(SETTLED_MS)
  sendRequests(network)
  network.advance(1_000)
  const lostBefore = countEvents(network.hosts, 'memberLost')
  const sentBefore = network.hosts.map(host => ({ ...host.sent }))
  const startMs = network.nowMs()
  const { agesMs, notLearned } = measureAges(network)
  const seconds = (network.nowMs() - startMs) / 1_000
  const rates = network.hosts.map((host, index) => ({ datagrams: (host.sent.datagrams - sentBefore[index]!.datagrams) / seconds, bytes: (host.sent.bytes - sentBefore[index]!.bytes) / seconds }))
  return {
    p99AgeMs: agesMs[Math.floor(agesMs.length * 0.99)]!,
    notLearned,
    lost: countEvents(network.hosts, 'memberLost') - lostBefore,
    hostCounts: network.hosts.map(host => host.exchange.hostCount()),
    meanDatagramsPerS: rates.reduce((sum, { datagrams }) => sum + datagrams, 0) / count,
    maxDatagramsPerS: Math.max(...rates.map(({ datagrams }) => datagrams)),
    meanBytesPerS: rates.reduce((sum, { bytes }) => sum + bytes, 0) / count,
    maxBytesPerS: Math.max(...rates.map(({ bytes }) => bytes))
  }
}

const figuresByCount = new Map<number, ReturnType<typeof measureFleet>>()

for (const count of [64, 195, 600]) {
  test.serial(`load is known within 300 ms in a fleet of ${count}, and no host counts as lost`, t => {
    t.timeout(SIMULATION_TIMEOUT_MS)
    const fleet = measureFleet(count)
    figuresByCount.set(count, fleet)
    t.log(JSON.stringify({ ...fleet, hostCounts: fleet.hostCounts.length }))
    t.true(fleet.p99AgeMs < 300, `p99 age ${fleet.p99AgeMs} ms`)
    t.is(fleet.notLearned, 0)
    t.is(fleet.lost, 0)
    t.true(fleet.hostCounts.every(known => known === count))
  })
}

test.serial('a host costs the same in fleets of 64, 195 and 600', t => {
  const [small, large, huge] = [64, 195, 600].map(count => figuresByCount.get(count)!)
  for (const figure of ['meanDatagramsPerS', 'maxDatagramsPerS', 'meanBytesPerS', 'maxBytesPerS'] as const) {
    t.true(Math.max(large![figure], huge![figure]) < 1.25 * small![figure], `${figure} ${small![figure]}, ${large![figure]}, ${huge![figure]}`)
  }
})

test('in a fleet of eight every host sends to every other', t => {
  const network = createSimulatedHosts()
  network.startAll(8, DOMAINS.slice(0, 3))
  network.advance(1_500)
  t.true(network.hosts.every(host => host.exchange.isRoot() && host.exchange.otherRoots().length === 7))
})

test('195 hosts that start at once know each other within 3 s', t => {
  const network = createSimulatedHosts({ seed: 7 })
  network.startAll(195, DOMAINS)
  network.advance(3_000)
  t.deepEqual(network.hosts.filter(host => host.exchange.hostCount() < 190), [])
})

test('load behind hosts that are killed is dropped, and that of the others is known again within 2 s', t => {
  const network = createSimulatedHosts({ seed: 5 })
  network.startAll(64, DOMAINS)
  network.advance(SETTLED_MS)
  for (const host of network.hosts) host.load.claim([{ target: ENGINES[0]!, from: 0, to: 80 }], SIZE)
  network.advance(1_000)
  t.true(network.hosts.every(host => host.load.loadOf('i-0').sequences === 64))
  // All roots at once: every domain has to agree on another one.
  for (const host of network.hosts.filter(root => root.exchange.isRoot())) network.stopHost(host)
  const left = network.hosts.length
  network.advance(2_000)
  t.is(left, 59)
  t.deepEqual(network.hosts.map(host => host.load.loadOf('i-0').sequences).filter(sequences => sequences !== left), [])
  t.deepEqual(network.hosts.map(host => host.exchange.readers()).flat(), [])
})

test('hosts that are cut off, one way or both, leave the others with the load of all others, and come back', t => {
  let isCut = (_from: string, _to: string): boolean => false
  const network = createSimulatedHosts({ seed: 6, isDelivered: (from, to) => !isCut(from, to) })
  network.startAll(30, DOMAINS)
  network.advance(SETTLED_MS)
  for (const host of network.hosts) host.load.claim([{ target: ENGINES[0]!, from: 0, to: 80 }], SIZE)
  network.advance(1_000)
  const [both, out, into] = [network.hosts.find(host => host.exchange.isRoot())!, ...network.hosts.filter(host => host.exchange.depth() === 1)] as [SimulatedHost, SimulatedHost, SimulatedHost]
  isCut = (from, to) => from === both.ip || to === both.ip || from === out.ip || to === into.ip
  network.advance(2_500)
  const sound = network.hosts.filter(host => ![both, out, into].includes(host))
  // A host that hears nothing still tells its own load.
  t.deepEqual(sound.map(host => host.load.loadOf('i-0').sequences).filter(sequences => sequences < 27 || sequences > 28), [])
  isCut = () => false
  network.advance(5_000)
  t.deepEqual(network.hosts.map(host => host.load.loadOf('i-0').sequences).filter(sequences => sequences !== 30), [])
})

test('datagrams that are lost now and then do not make a host count as lost', t => {
  let draw = (): number => 1
  const network = createSimulatedHosts({ seed: 8, isDelivered: () => draw() > 0.05 })
  network.startAll(64, DOMAINS)
  network.advance(SETTLED_MS)
  draw = network.random
  const lostBefore = countEvents(network.hosts, 'memberLost')
  network.advance(5_000)
  t.is(countEvents(network.hosts, 'memberLost'), lostBefore)
})
