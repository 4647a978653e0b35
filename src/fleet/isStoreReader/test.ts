import test from 'ava'
import fc from 'fast-check'
import { planNeighbors, type Member } from '../../digest/planNeighbors/index.js'
import { isStoreReader, type ConnectedReader } from './index.js'

const DOMAINS = ['east', 'north', 'south']

interface Host extends Member { depth: number, isConnected: boolean }

function buildHosts (count: number): Host[] {
  const members: Member[] = Array.from({ length: count }, (_, index) => ({ ip: `10.0.0.${index}`, failureDomain: DOMAINS[index % DOMAINS.length]! }))
  return members.map(member => ({ ...member, depth: planNeighbors(member, members.filter(other => other !== member)).depth, isConnected: false }))
}

const readersBeside = (hosts: readonly Host[], own: Host): ConnectedReader[] => hosts.filter(host => host !== own && host.isConnected).map(({ ip, depth }) => ({ ip, depth, ageMs: 0 }))

/** Repeats rounds in which all hosts decide, until nothing changes; hosts that the store refuses never connect. Returns the readers and how many hosts try. */
function settle (hosts: Host[], refusedIps: ReadonlySet<string>): { readers: Host[], tries: number } {
  for (let round = 0; round < 20; round++) {
    const mayRead = hosts.map(own => isStoreReader(own, readersBeside(hosts, own), { upMs: 5_000, hasNeighbors: hosts.length > 1 }))
    const decided = hosts.map((own, index) => ({ ...own, isConnected: mayRead[index]! && !refusedIps.has(own.ip) }))
    if (decided.every((host, index) => host.isConnected === hosts[index]!.isConnected)) return { readers: decided.filter(host => host.isConnected), tries: mayRead.filter(may => may).length }
    hosts = decided
  }
  throw new Error('readers keep changing')
}

test('of two hundred hosts two roots read, and no other tries', t => {
  const { readers, tries } = settle(buildHosts(200), new Set())
  t.deepEqual(readers.map(reader => reader.depth), [0, 0])
  t.is(tries, 2)
})

test('a host that hears no other reads', t => {
  t.true(isStoreReader({ ip: '10.0.0.1', depth: 2 }, [], { upMs: 5_000, hasNeighbors: false }))
})

test('right after their start roots wait until they know their place, and substitutes until they know the readers', t => {
  const mayRead = (depth: number, upMs: number): boolean => isStoreReader({ ip: '10.0.0.1', depth }, [], { upMs, hasNeighbors: true })
  t.deepEqual([mayRead(0, 900), mayRead(0, 1_000), mayRead(1, 1_000), mayRead(1, 2_500)], [false, true, false, true])
})

test('when the store refuses every root, one host below them reads', t => {
  const hosts = buildHosts(200)
  const { readers } = settle(hosts, new Set(hosts.filter(host => host.depth === 0).map(host => host.ip)))
  t.deepEqual(readers.map(reader => reader.depth), [1])
})

test('while the store answers nobody, the number of hosts that try does not grow with the fleet', t => {
  const triesOf = (count: number): number => settle(buildHosts(count), new Set(buildHosts(count).map(host => host.ip))).tries
  t.is(triesOf(600), triesOf(100))
  t.true(triesOf(600) <= 21)
})

test('readers settle, and there is one while the store answers any host that tries', t => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 70 }), fc.array(fc.nat({ max: 69 })), (count, indexes) => {
    const hosts = buildHosts(count)
    const refusedIps = new Set(indexes.map(index => `10.0.0.${index}`))
    const { readers } = settle(hosts, refusedIps)
    const isAnyAccepted = hosts.some(host => host.depth <= 1 && !refusedIps.has(host.ip))
    return readers.length <= 2 && (readers.length > 0) === isAnyAccepted
  }), { seed: 20261204 })
  t.pass()
})
