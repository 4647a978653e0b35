import test from 'ava'
import { isLeaseCandidate, LEASE_CANDIDATES } from '../../src/control/_lib/isLeaseCandidate.js'
import type { Member, MemberStatus } from '../../src/member/types.js'

const control = (name: string, status: MemberStatus = 'alive'): Member => ({ host: name, role: 'control', status }) as Member

test('five control daemons stand for the lease, and the next one once one of them is gone', t => {
  const live = ['a', 'b', 'c', 'd', 'e', 'f', 'g'].map(name => control(name))
  const candidates = (members: Member[]): string => members.filter(member => isLeaseCandidate(member, members)).map(member => member.host).join('')
  t.is(LEASE_CANDIDATES, 5)
  t.is(candidates(live), 'abcde')
  t.is(candidates(live.slice(1)), 'bcdef')
  t.is(candidates([control('a', 'leaving'), ...live.slice(1)]), 'bcdef')
})
