import test from 'ava'
import { createMemoryObjectStore } from '../../../standin/objectApi/createMemoryObjectStore/index.js'
import { createImmediateRuntime } from '../../../test/fakes/createImmediateRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import { loadConfiguration } from '../../configuration/loadConfiguration/index.js'
import type { Member, MemberStatus } from '../../member/types.js'
import { submitTicket } from '../submitTicket/index.js'
import { listTickets, showTicket } from './index.js'

const member = (host: string, failureDomain: string, revisionInForce: number, status: MemberStatus = 'alive'): Member =>
  ({ host, role: 'entry', address: '', operatorUrl: '', failureDomain, incarnation: 1, heartbeat: 1, status, revisionInForce })

async function setUp () {
  const store = createMemoryObjectStore()
  const options = { store, runtime: createImmediateRuntime(), log: createTestLog(), operator: 'ana' }
  for (const number of [1, 2]) await submitTicket({ number, scopes: { timeouts: { connectMs: number } } }, options)
  const loaded = await loadConfiguration(store)
  if (loaded.kind !== 'loaded') throw new Error(loaded.cause)
  return { store, inForce: loaded.configuration.head }
}

test('a ticket shows where it is in force, who lags and why', async t => {
  const { store, inForce } = await setUp()
  const members = [member('host-1', 'a', 2), member('host-2', 'a', 1), member('host-3', 'b', 0, 'dead')]
  const shown = await showTicket(2, { store, members, inForce })
  t.like(shown, { ticket: { state: 'accepted', acceptedRevision: 2, inForceOn: 1, members: 2, byFailureDomain: { a: { inForceOn: 1, members: 2 } } } })
  t.deepEqual(shown.kind === 'shown' && shown.ticket.lagging.map(lag => `${lag.member} ${lag.why.split(';')[0]}`), ['host-2-entry behind by 1', 'host-3-entry no heartbeat'])
})

test('a ticket that another one replaced still counts as in force', async t => {
  const { store, inForce } = await setUp()
  const shown = await showTicket(1, { store, members: [member('host-1', 'a', 2)], inForce })
  t.like(shown, { ticket: { state: 'inForce', replacedBy: { timeouts: 2 } } })
})

test('accepted tickets are shown and listed while the store is down', async t => {
  const { store, inForce } = await setUp()
  store.faults.down = true
  t.like(await showTicket(2, { store, members: [member('host-1', 'a', 2)], inForce }), { ticket: { state: 'inForce', store: 'unavailable' } })
  t.is((await showTicket(9, { store, members: [], inForce })).kind, 'unavailable')
  t.deepEqual(await listTickets({ store, inForce }), {
    store: 'unavailable', tickets: [{ number: 1, acceptedRevision: 1 }, { number: 2, acceptedRevision: 2 }]
  })
})
