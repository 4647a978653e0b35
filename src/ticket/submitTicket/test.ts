import test from 'ava'
import { createMemoryObjectStore } from '../../../standin/objectApi/createMemoryObjectStore/index.js'
import { createImmediateRuntime } from '../../../test/fakes/createImmediateRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import { buildConfiguration, EMPTY_HEAD } from '../../configuration/buildConfiguration/index.js'
import { loadConfiguration } from '../../configuration/loadConfiguration/index.js'
import type { Configuration } from '../../configuration/types.js'
import { HEAD_KEY, MAX_ACCEPTED_IN_HEAD, UNNOTED_IN_HEAD } from '../constants.js'
import type { Ticket } from '../types.js'
import { submitTicket, type SubmitTicketOptions } from './index.js'

const timeouts = (number: number, connectMs: number): Ticket => ({ number, scopes: { timeouts: { connectMs } } })

function setUp (extra: Partial<SubmitTicketOptions> = {}) {
  const store = createMemoryObjectStore()
  const options = { store, runtime: createImmediateRuntime(), log: createTestLog(), operator: 'ana', ...extra }
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

test('a ticket is found accepted long after others have followed it', async t => {
  const { submit } = setUp()
  for (let number = 1; number <= MAX_ACCEPTED_IN_HEAD + 40; number++) await submit(timeouts(number, number))
  t.deepEqual(await submit(timeouts(1, 1)), { kind: 'accepted', number: 1, revision: 1 })
})

test('a ticket applied late is reported accepted although another has superseded it', async t => {
  const { store, submit } = setUp()
  await submit(timeouts(1, 100))
  const settle = store.write
  store.write = async (key, value, condition) => {
    store.write = settle
    const result = await settle(key, value, condition)
    return key === HEAD_KEY ? { kind: 'mayBeApplied', cause: String(result.kind) } : result
  }
  t.like(await submit(timeouts(2, 200)), { kind: 'accepted', revision: 2 })
  t.like(await submit(timeouts(3, 300)), { kind: 'accepted', revision: 3 })
  t.like(await submit(timeouts(2, 200)), { kind: 'accepted', revision: 2 })
})

test('a lower number does not bring back a scope that a higher one removed', async t => {
  const { submit } = setUp()
  await submit(timeouts(1, 100))
  await submit({ number: 3, scopes: { timeouts: null } })
  t.like(await submit(timeouts(2, 200)), { reason: 'ticketSuperseded', facts: { scope: 'timeouts', inForce: 3 } })
})

test('targets that a model is placed on cannot be removed alone', async t => {
  const { submit } = setUp()
  const targets = { targets: [{ name: 'engine-1', host: 'engine-1', kind: 'engine' }] }
  const model = { layers: 4, version: 'v1', placement: [{ target: 'engine-1', fromLayer: 0, toLayer: 4 }] }
  await submit({ number: 1, scopes: { 'targets/a': targets, 'models/m': model } })
  t.like(await submit({ number: 2, scopes: { 'targets/a': null } }), { reason: 'ticketInconsistent' })
  t.like(await submit({ number: 3, scopes: { 'targets/a': null, 'models/m': null } }), { kind: 'accepted', revision: 2 })
})

test('a target on a host that the host list does not name is refused', async t => {
  const { submit } = setUp({ hosts: async () => [{ name: 'engine-1', address: '127.0.0.1:1', failureDomain: 'a', state: 'live' }] })
  const on = (host: string) => ({ 'targets/a': { targets: [{ name: 'engine-1', host, kind: 'engine' }] } })
  t.like(await submit({ number: 1, scopes: on('engine-2') }), { reason: 'ticketUnknownHost' })
  t.like(await submit({ number: 2, scopes: on('engine-1') }), { kind: 'accepted' })
})

test('a ticket against a restored store passes the revision in force and keeps what was lost', async t => {
  const known = { current: buildConfiguration(EMPTY_HEAD, new Map()) }
  const { store, submit } = setUp({ configurationInForce: () => known.current })
  await submit(timeouts(1, 100))
  const older = store.snapshot()
  await submit(timeouts(2, 200))
  const loaded = await loadConfiguration(store)
  if (loaded.kind === 'loaded') known.current = loaded.configuration
  store.restore(older, older.length)
  t.like(await submit({ number: 3, scopes: { 'targets/a': { targets: [] } } }), { kind: 'accepted', revision: 3 })
  const after = await loadConfiguration(store)
  t.is(after.kind === 'loaded' && after.configuration.timeouts.connectMs, 200)
  t.like(await submit(timeouts(2, 200)), { kind: 'accepted', revision: 2 })
})

test('an acceptance noted in its record is found after the store has lost the note', async t => {
  const known = { current: buildConfiguration(EMPTY_HEAD, new Map()) }
  const { store, submit } = setUp({ configurationInForce: () => known.current })
  const submitUpTo = async (from: number, last: number): Promise<void> => {
    for (let number = from; number <= last; number++) await submit(timeouts(number, number))
    const loaded = await loadConfiguration(store)
    if (loaded.kind === 'loaded') known.current = loaded.configuration
  }
  await submitUpTo(1, UNNOTED_IN_HEAD)
  const [older, revision] = [store.snapshot(), store.revision()]
  await submitUpTo(UNNOTED_IN_HEAD + 1, UNNOTED_IN_HEAD + 8)
  store.restore(older, revision)
  const last = UNNOTED_IN_HEAD + MAX_ACCEPTED_IN_HEAD + 60
  await submitUpTo(UNNOTED_IN_HEAD + 9, last)
  t.deepEqual(await submit(timeouts(3, 3)), { kind: 'accepted', number: 3, revision: 3 })
  t.deepEqual(await submit(timeouts(UNNOTED_IN_HEAD + 4, UNNOTED_IN_HEAD + 4)), { kind: 'accepted', number: UNNOTED_IN_HEAD + 4, revision: UNNOTED_IN_HEAD + 4 })
  t.true((known.current.head.accepted?.length ?? 0) <= MAX_ACCEPTED_IN_HEAD + 1)
})

test('an accepted ticket is handed to its own host at once', async t => {
  const accepted: Configuration[] = []
  const { submit } = setUp({ onAccepted: configuration => { accepted.push(configuration) } })
  await submit(timeouts(1, 100))
  t.like(accepted, [{ head: { revision: 1, scopes: { timeouts: 1 } }, timeouts: { connectMs: 100 } }])
})

test('a host behind other members accepts nothing', async t => {
  const { submit } = setUp({ highestRevision: () => 5 })
  t.is((await submit(timeouts(1, 100))).kind, 'uncertain')
})
