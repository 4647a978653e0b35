import test from 'ava'
import { createMemoryObjectStore } from '../../../standin/objectApi/createMemoryObjectStore/index.js'
import { createImmediateRuntime } from '../../../test/fakes/createImmediateRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import { buildConfiguration, EMPTY_HEAD } from '../../configuration/buildConfiguration/index.js'
import { loadConfiguration } from '../../configuration/loadConfiguration/index.js'
import type { Configuration } from '../../configuration/types.js'
import { HEAD_KEY, MAX_ACCEPTED_IN_HEAD, HEAD_ONLY_ACCEPTANCES } from '../constants.js'
import type { Ticket } from '../types.js'
import { submitTicket, type SubmitTicketOptions } from './index.js'

const timeoutsTicket = (number: number, connectMs: number): Ticket => ({ number, scopes: { timeouts: { connectMs } } })

function setUp (overrides: Partial<SubmitTicketOptions> = {}) {
  const store = createMemoryObjectStore()
  const options = { store, runtime: createImmediateRuntime(), log: createTestLog(), operator: 'ana', ...overrides }
  return { store, submit: (ticket: Ticket) => submitTicket(ticket, options) }
}

test('the same ticket submitted twice has one outcome', async t => {
  const { submit } = setUp()
  const first = await submit(timeoutsTicket(1, 100))
  t.deepEqual(first, { kind: 'accepted', number: 1, revision: 1 })
  t.deepEqual(await submit(timeoutsTicket(1, 100)), first)
})

test('another ticket with a taken number is refused', async t => {
  const { submit } = setUp()
  await submit(timeoutsTicket(1, 100))
  const second = await submit(timeoutsTicket(1, 200))
  t.is(second.kind === 'refused' ? second.reason : second.kind, 'ticketNumberTaken')
})

test('a ticket with a lower number than the one in force for a scope is superseded', async t => {
  const { submit } = setUp()
  await submit(timeoutsTicket(5, 100))
  const second = await submit(timeoutsTicket(4, 200))
  t.is(second.kind === 'refused' ? second.reason : second.kind, 'ticketSuperseded')
})

test('a ticket is still reported accepted after many others have followed', async t => {
  const { submit } = setUp()
  for (let number = 1; number <= MAX_ACCEPTED_IN_HEAD + 40; number++) await submit(timeoutsTicket(number, number))
  t.deepEqual(await submit(timeoutsTicket(1, 1)), { kind: 'accepted', number: 1, revision: 1 })
})

test('a ticket applied late is reported accepted although another has superseded it', async t => {
  const { store, submit } = setUp()
  await submit(timeoutsTicket(1, 100))
  const write = store.write
  store.write = async (key, value, condition) => {
    store.write = write
    const result = await write(key, value, condition)
    return key === HEAD_KEY ? { kind: 'mayBeApplied', cause: String(result.kind) } : result
  }
  t.like(await submit(timeoutsTicket(2, 200)), { kind: 'accepted', revision: 2 })
  t.like(await submit(timeoutsTicket(3, 300)), { kind: 'accepted', revision: 3 })
  t.like(await submit(timeoutsTicket(2, 200)), { kind: 'accepted', revision: 2 })
})

test('a ticket does not bring back a scope that a higher number removed', async t => {
  const { submit } = setUp()
  await submit(timeoutsTicket(1, 100))
  await submit({ number: 3, scopes: { timeouts: null } })
  t.like(await submit(timeoutsTicket(2, 200)), { reason: 'ticketSuperseded', facts: { scope: 'timeouts', inForce: 3 } })
})

test('targets that a model is placed on cannot be removed without the model', async t => {
  const { submit } = setUp()
  const targets = { targets: [{ name: 'engine-1', host: 'engine-1', kind: 'engine' }] }
  const model = { layers: 4, version: 'v1', placement: [{ target: 'engine-1', fromLayer: 0, toLayer: 4 }] }
  await submit({ number: 1, scopes: { 'targets/a': targets, 'models/m': model } })
  t.like(await submit({ number: 2, scopes: { 'targets/a': null } }), { reason: 'ticketInconsistent' })
  t.like(await submit({ number: 3, scopes: { 'targets/a': null, 'models/m': null } }), { kind: 'accepted', revision: 2 })
})

test('a target on a host that is not in the host list is refused', async t => {
  const { submit } = setUp({ hosts: async () => [{ name: 'engine-1', address: '127.0.0.1:1', failureDomain: 'a', state: 'live' }] })
  const targetsOn = (host: string) => ({ 'targets/a': { targets: [{ name: 'engine-1', host, kind: 'engine' }] } })
  t.like(await submit({ number: 1, scopes: targetsOn('engine-2') }), { reason: 'ticketUnknownHost' })
  t.like(await submit({ number: 2, scopes: targetsOn('engine-1') }), { kind: 'accepted' })
})

test('a ticket submitted to a restored store gets a revision above the one in force and keeps lost values', async t => {
  const inForce = { current: buildConfiguration(EMPTY_HEAD, new Map()) }
  const { store, submit } = setUp({ configurationInForce: () => inForce.current })
  await submit(timeoutsTicket(1, 100))
  const olderObjects = store.snapshot()
  await submit(timeoutsTicket(2, 200))
  const loaded = await loadConfiguration(store)
  if (loaded.kind === 'loaded') inForce.current = loaded.configuration
  store.restore(olderObjects, olderObjects.length)
  t.like(await submit({ number: 3, scopes: { 'targets/a': { targets: [] } } }), { kind: 'accepted', revision: 3 })
  const after = await loadConfiguration(store)
  t.is(after.kind === 'loaded' && after.configuration.timeouts.connectMs, 200)
  t.like(await submit(timeoutsTicket(2, 200)), { kind: 'accepted', revision: 2 })
})

test('an acceptance is still found after a restore has removed it from the ticket record', async t => {
  const inForce = { current: buildConfiguration(EMPTY_HEAD, new Map()) }
  const { store, submit } = setUp({ configurationInForce: () => inForce.current })
  const submitUpTo = async (from: number, last: number): Promise<void> => {
    for (let number = from; number <= last; number++) await submit(timeoutsTicket(number, number))
    const loaded = await loadConfiguration(store)
    if (loaded.kind === 'loaded') inForce.current = loaded.configuration
  }
  await submitUpTo(1, HEAD_ONLY_ACCEPTANCES)
  const [olderObjects, revision] = [store.snapshot(), store.revision()]
  await submitUpTo(HEAD_ONLY_ACCEPTANCES + 1, HEAD_ONLY_ACCEPTANCES + 8)
  store.restore(olderObjects, revision)
  const last = HEAD_ONLY_ACCEPTANCES + MAX_ACCEPTED_IN_HEAD + 60
  await submitUpTo(HEAD_ONLY_ACCEPTANCES + 9, last)
  t.deepEqual(await submit(timeoutsTicket(3, 3)), { kind: 'accepted', number: 3, revision: 3 })
  t.deepEqual(await submit(timeoutsTicket(HEAD_ONLY_ACCEPTANCES + 4, HEAD_ONLY_ACCEPTANCES + 4)), { kind: 'accepted', number: HEAD_ONLY_ACCEPTANCES + 4, revision: HEAD_ONLY_ACCEPTANCES + 4 })
  t.true((inForce.current.head.accepted?.length ?? 0) <= MAX_ACCEPTED_IN_HEAD + 1)
})

test('an accepted ticket is passed to the host that it was submitted to', async t => {
  const accepted: Configuration[] = []
  const { submit } = setUp({ onAccepted: configuration => { accepted.push(configuration) } })
  await submit(timeoutsTicket(1, 100))
  t.like(accepted, [{ head: { revision: 1, scopes: { timeouts: 1 } }, timeouts: { connectMs: 100 } }])
})

test('a host behind other members accepts no ticket', async t => {
  const { submit } = setUp({ highestRevision: () => 5 })
  t.is((await submit(timeoutsTicket(1, 100))).kind, 'uncertain')
})
