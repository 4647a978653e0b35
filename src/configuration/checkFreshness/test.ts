import test from 'ava'
import type { Member } from '../../member/types.js'
import { checkFreshness } from './index.js'

const member = (host: string, failureDomain: string, overrides: Partial<Member> = {}): Member => ({
  host, role: 'entry', address: '', operatorUrl: '', failureDomain, incarnation: 1, heartbeat: 1, status: 'alive', revisionInForce: 7, ...overrides
})
const self = member('host-1', 'a')
const freshness = (others: Member[], storeAgeMs = 60_000) =>
  checkFreshness({ storeAgeMs, revision: 7, self, members: () => [self, ...others] }, { staleAfterMs: 10_000 }).kind

test('a confirmation by the store is valid until its limit', t => {
  t.is(freshness([], 9_999), 'current')
  t.is(freshness([], 10_000), 'stale')
})

test('a host keeps serving in a store-wide outage while a peer outside its domain has the same revision', t => {
  t.is(freshness([member('host-2', 'b')]), 'current')
  t.is(freshness([member('host-2', 'b', { revisionInForce: 8 })]), 'stale')
})

test('peers that are cut off together do not confirm each other', t => {
  t.is(freshness([member('host-2', 'a'), member('host-3', 'b', { status: 'dead' })]), 'stale')
  t.is(freshness([member('host-1', 'a', { role: 'control' })]), 'stale')
  t.is(freshness([member('host-2', 'a')]), 'current')
})
