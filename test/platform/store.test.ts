import test from 'ava'
import { createPlatformStore } from '../../platform/createPlatformStore.js'
import { createFleetFormat } from '../../platform/decode.js'
import { createFleetState } from '../../src/fleet/createFleetState/index.js'
import { followFleet } from '../../src/fleet/followFleet/index.js'
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import { servePlatformStore, type PlatformStoreStandin } from '../../standin/platform/servePlatformStore/index.js'
import { createManualRuntime } from '../fakes/createManualRuntime.js'
import { createTestLog } from '../fakes/createTestLog.js'

const runtime = createSystemRuntime()

/** Opens the store, by default with deadlines so long that even a busy machine meets them. */
const open = (store: PlatformStoreStandin, deadlineMs = 60_000) => createPlatformStore({ address: store.address, callTimeoutMs: deadlineMs, watchWaitMs: 10, watchGraceMs: deadlineMs, runtime, onCall: () => {} })

const entry = (state = 'ready') => ({ service: 'model', address: '10.0.0.1:80', zone: 'north', version: 'v1', slots: 4, state, cold_remaining_ms: 0, sequence: 1, born: 5 })
const configuration = (version: number) => ({ version, routes: [], services: [{ name: 'model' }], limits: { max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 } })

test('a list is read from all its pages', async t => {
  await using standin = await servePlatformStore()
  await using store = open(standin)
  for (const name of ['a', 'b', 'c', 'd', 'e', 'f', 'g']) standin.put('servers', name, { name })
  const listed = await store.list('servers/')
  t.is(listed.kind, 'listed')
  if (listed.kind === 'listed') t.deepEqual(listed.objects.map(object => object.key), ['a', 'b', 'c', 'd', 'e', 'f', 'g'].map(name => `servers/${name}`))
})

test('a stale list whose later pages are older is watched from the oldest page, so that no change is missed', async t => {
  await using standin = await servePlatformStore()
  await using store = open(standin)
  for (const name of ['a', 'b', 'c', 'd']) standin.put('servers', name, 'ready')
  standin.faults.laterPagesAt = 4
  standin.put('servers', 'd', 'draining')
  const listed = await store.list('servers/', { mayBeStale: true })
  if (listed.kind !== 'listed') return t.fail(listed.cause)
  t.deepEqual(listed.objects.map(({ value }) => value), ['ready', 'ready', 'ready', 'ready'])
  t.like(await store.watch('servers/', listed.revision, { signal: new AbortController().signal }), { kind: 'changes', objects: [{ key: 'servers/d', value: 'draining' }] })
})

test('a watch returns changes and removals, or none after its wait', async t => {
  await using standin = await servePlatformStore()
  await using store = open(standin)
  standin.put('servers', 'a', 1)
  const { signal } = new AbortController()
  standin.put('servers', 'b', 2)
  standin.remove('servers', 'a')
  const watched = await store.watch('servers/', 1, { signal })
  t.like(watched, { kind: 'changes', removedKeys: ['servers/a'] })
  if (watched.kind === 'changes') t.deepEqual(watched.objects.map(object => object.key), ['servers/b'])
  t.like(await store.watch('servers/', 3, { signal }), { kind: 'changes', objects: [] })
})

test('lost history and a silent watch have different results', async t => {
  await using standin = await servePlatformStore()
  await using store = open(standin)
  const { signal } = new AbortController()
  standin.faults.expiresNextWatch = true
  t.is((await store.watch('servers/', 0, { signal })).kind, 'reset')
  standin.faults.isSilent = true
  await using impatient = open(standin, 10)
  t.is((await impatient.watch('servers/', 0, { signal })).kind, 'silent')
})

// Guards against calls that take one silent connection after the other, while a newer configuration is in force (CONFIG, case 5 of the review).
test('after a call that was not answered in time, calls use new connections, as the open ones may have gone silent together', async t => {
  await using standin = await servePlatformStore()
  const clock = createManualRuntime()
  await using store = createPlatformStore({ address: standin.address, callTimeoutMs: 800, watchWaitMs: 10, watchGraceMs: 800, runtime: clock, onCall: () => {} })
  standin.put('config', 'main', 1)
  const readTwice = async () => (await Promise.all([store.read('config/main'), store.read('config/main')])).map(({ kind }) => kind)
  t.deepEqual(await readTwice(), ['found', 'found'])
  standin.silenceConnections()
  const first = store.read('config/main')
  await clock.advance(800)
  t.is((await first).kind, 'unavailable')
  t.deepEqual(await readTwice(), ['found', 'found'])
})

test('a write is applied, in conflict, not applied, or possibly applied', async t => {
  await using standin = await servePlatformStore()
  await using store = open(standin)
  t.like(await store.write('leases/control', { a: 1 }, { ifAbsent: true }), { kind: 'written', version: 1 })
  t.is((await store.write('leases/control', { a: 2 }, { ifAbsent: true })).kind, 'conflict')
  t.is((await store.write('leases/control', { a: 2 }, { ifVersion: 9 })).kind, 'conflict')
  standin.faults.losesNextWriteAnswer = true
  t.is((await store.write('leases/control', { a: 3 }, { ifVersion: 1 })).kind, 'mayBeApplied')
  standin.faults.status = 429
  t.is((await store.write('leases/control', { a: 4 }, { ifVersion: 2 })).kind, 'notApplied')
})

test('configuration and targets are followed across an outage, and invalid entries ignored', async t => {
  await using standin = await servePlatformStore()
  await using store = open(standin)
  const log = createTestLog()
  const fleet = createFleetState({ runtime })
  const controller = new AbortController()
  const changed = (isDone: () => boolean): Promise<void> => new Promise(resolve => {
    fleet.onChange(() => { if (isDone()) resolve() })
    if (isDone()) resolve()
  })
  standin.faults.status = 503
  const follower = followFleet(fleet, { store, format: createFleetFormat(log), log, runtime, signal: controller.signal, isStoreUpForPeers: () => false, isReader: () => true, isConfigurationWatcher: () => false })
  t.false(follower.isConnected())
  standin.put('config', 'main', configuration(4))
  standin.put('servers', 'a', entry())
  standin.put('servers', 'foreign', { service: 7 })
  delete standin.faults.status
  await changed(() => fleet.configuration()?.version === 4 && fleet.targets().length === 1)
  standin.put('servers', 'a', entry('draining'))
  standin.put('config', 'main', configuration(9))
  await changed(() => fleet.configuration()?.version === 9 && fleet.servingTargets('model').length === 0)
  standin.put('config', 'main', { version: 12, routes: 'none' })
  standin.put('servers', 'b', entry())
  await changed(() => fleet.servingTargets('model').length === 1)
  t.is(fleet.configuration()?.version, 9)
  t.true(log.recent().some(event => event.name === 'targetInvalid'))
  controller.abort()
})
