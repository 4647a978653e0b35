import test from 'ava'
import fc from 'fast-check'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import type { Member } from '../types.js'
import { createMemberTable } from './index.js'

const SEED = 2_203

const member = (host: string, change: Partial<Member> = {}): Member => ({
  host,
  role: 'entry',
  address: `${host}:1`,
  operatorUrl: '',
  failureDomain: 'a',
  incarnation: 5,
  heartbeat: 1,
  status: 'alive',
  revisionInForce: 0,
  ...change
})

const createTable = () => createMemberTable(member('self'), { runtime: createManualRuntime(), log: createTestLog() })

const reportArbitrary = fc.record({
  incarnation: fc.integer({ min: 4, max: 6 }),
  heartbeat: fc.integer({ min: 0, max: 3 }),
  status: fc.constantFrom('alive' as const, 'suspect' as const, 'leaving' as const, 'dead' as const)
})

function mergeReports (reports: Member[]): Partial<Member> {
  const table = createTable()
  table.merge([member('b', { incarnation: 0 })])
  for (const report of reports) table.merge([report])
  const { incarnation, heartbeat, status } = table.all().find(known => known.host === 'b')!
  return status === 'dead' ? { incarnation, status } : { incarnation, heartbeat, status }
}

test('reports about a member lead to the same state in any order', t => {
  fc.assert(fc.property(fc.array(reportArbitrary, { minLength: 1, maxLength: 8 }), fc.infiniteStream(fc.nat()), (changes, draws) => {
    const reports = changes.map(change => member('b', change))
    const keyed = reports.map(report => ({ report, at: draws.next().value as number }))
    const shuffled = keyed.sort((a, b) => a.at - b.at).map(({ report }) => report)
    t.deepEqual(mergeReports(shuffled), mergeReports(reports))
  }), { seed: SEED, numRuns: 500 })
})

test('a member refutes its own suspicion and death under a higher incarnation', t => {
  const table = createTable()
  table.merge([member('self', { status: 'suspect' })])
  t.is(table.self().incarnation, 6)
  table.merge([member('self', { status: 'dead', incarnation: 9 })])
  t.like(table.self(), { incarnation: 10, status: 'alive' })
})
