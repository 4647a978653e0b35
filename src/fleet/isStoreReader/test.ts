import test from 'ava'
import fc from 'fast-check'
import { isStoreReader, type ReaderCandidate } from './index.js'

const DOMAINS = ['east', 'north', 'south']
const buildHosts = (count: number): ReaderCandidate[] => Array.from({ length: count }, (_, index) => (
  { host: `entry-${String(index).padStart(3, '0')}`, failureDomain: DOMAINS[index % DOMAINS.length]!, isStoreConnected: false }))
const others = (hosts: readonly ReaderCandidate[], own: ReaderCandidate): ReaderCandidate[] => hosts.filter(host => host !== own)

/** Repeats rounds in which all hosts decide, until nothing changes; hosts that the store refuses never connect. */
function settle (hosts: ReaderCandidate[], refusedHosts: ReadonlySet<string>): ReaderCandidate[] {
  for (let round = 0; round < 20; round++) {
    const decided = hosts.map(own => ({ ...own, isStoreConnected: isStoreReader(own, others(hosts, own)) && !refusedHosts.has(own.host) }))
    if (decided.every((host, index) => host.isStoreConnected === hosts[index]!.isStoreConnected)) return decided
    hosts = decided
  }
  throw new Error('readers keep changing')
}

test('of seventy hosts one in each domain reads', t => {
  const readers = settle(buildHosts(70), new Set()).filter(host => host.isStoreConnected)
  t.deepEqual(readers.map(reader => reader.host), ['entry-000', 'entry-001', 'entry-002'])
})

test('a host without peers reads', t => {
  t.true(isStoreReader({ host: 'entry-1', failureDomain: 'north' }, []))
})

test('readers settle, and there is one while the store answers any host', t => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 70 }), fc.array(fc.nat({ max: 69 })), (count, indexes) => {
    const hosts = buildHosts(count)
    const refusedHosts = new Set(indexes.map(index => `entry-${String(index).padStart(3, '0')}`))
    const readers = settle(hosts, refusedHosts).filter(host => host.isStoreConnected)
    const isAnyAccepted = hosts.some(host => !refusedHosts.has(host.host))
    return readers.length <= DOMAINS.length && (readers.length > 0) === isAnyAccepted
  }), { seed: 20261204 })
  t.pass()
})
