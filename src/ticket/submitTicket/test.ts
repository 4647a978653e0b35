import test from 'ava'
import { createMemoryObjectStore } from '../../../standin/objectApi/createMemoryObjectStore/index.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import type { Ticket } from '../types.js'
import { submitTicket } from './index.js'

const timeouts = (number: number, connectMs: number): Ticket => ({ number, scopes: { timeouts: { connectMs } } })

function setUp () {
  const store = createMemoryObjectStore()
  const options = { store, runtime: createManualRuntime(), log: createTestLog(), operator: 'ana' }
  return { store, submit: (ticket: Ticket) => submitTicket(ticket, options) }
}

test('the same ticket submitted twice has one outcome', async t => {
  const { submit } = setUp()
  const first = await submit(timeouts(1, 100))
  t.deepEqual(first, { kind: 'accepted', number: 1, revision: 1 })
  t.deepEqual(await submit(timeouts(1, 100)), first)
})

test('another ticket under a taken number is refused and the winner named', async t => {
  const { submit } = setUp()
  await submit(timeouts(1, 100))
  const second = await submit(timeouts(1, 200))
  t.is(second.kind === 'refused' ? second.reason : second.kind, 'ticketNumberTaken')
})

test('a lower number than the one in force for a scope is superseded', async t => {
  const { submit } = setUp()
  await submit(timeouts(5, 100))
  const second = await submit(timeouts(4, 200))
  t.is(second.kind === 'refused' ? second.reason : second.kind, 'ticketSuperseded')
})
