import test from 'ava'
import { isLeaseCandidate, MAX_LEASE_CANDIDATES } from '../../src/control/_lib/isLeaseCandidate.js'
import type { Member, MemberStatus } from '../../src/member/types.js'

const createControlMember = (name: string, status: MemberStatus = 'alive'): Member => ({ host: name, role: 'control', status }) as Member

test('five control daemons compete for the lease, and the next one replaces one that is gone or leaving', t => {
  const live = ['a', 'b', 'c', 'd', 'e', 'f', 'g'].map(name => createControlMember(name))
  const findCandidates = (members: Member[]): string => members.filter(member => isLeaseCandidate(member, members)).map(member => member.host).join('')
  t.is(MAX_LEASE_CANDIDATES, 5)
  t.is(findCandidates(live), 'abcde')
  t.is(findCandidates(live.slice(1)), 'bcdef')
  t.is(findCandidates([createControlMember('a', 'leaving'), ...live.slice(1)]), 'bcdef')
})
