/** The store comes back from a copy: its latest changes are lost, and their revisions are given out again. */
import test from 'ava'
import { createPlatformStore } from '../../platform/createPlatformStore.js'
import { createFleetFormat } from '../../platform/decode.js'
import { createFleetState } from '../../src/fleet/createFleetState/index.js'
import { followFleet } from '../../src/fleet/followFleet/index.js'
import type { ListResult, ObjectStore, WatchResult } from '../../src/objectApi/types.js'
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import { servePlatformStore } from '../../standin/platform/servePlatformStore/index.js'
import { buildEngine } from '../fakes/buildFleet.js'
import { createManualRuntime } from '../fakes/createManualRuntime.js'
import { createTestLog } from '../fakes/createTestLog.js'

const runtime = createSystemRuntime()

const entry = (state = 'ready', bornMs = 5) => ({ service: 'model', address: '10.0.0.1:80', zone: 'north', version: 'v1', slots: 4, state, cold_remaining_ms: 0, sequence: 1, born: bornMs })
const configuration = (version: number) => ({ version, routes: [], services: [{ name: 'model' }], limits: { max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 } })

/** A host that reads a store of which a copy is taken when it knows the engines a and b; then the revisions rise. */
async function startReader (options?: { era: number | undefined }) {
  const standin = await servePlatformStore(options)
  const store = createPlatformStore({ address: standin.address, callTimeoutMs: 60_000, watchWaitMs: 100, watchGraceMs: 60_000, runtime, onCall: () => {} })
  const log = createTestLog()
  const newEras: unknown[] = []
  const fleet = createFleetState({ runtime, onNewEra: change => newEras.push(change) })
  const controller = new AbortController()
  const until = (isDone: () => boolean): Promise<void> => new Promise(resolve => {
    const check = (): void => { if (isDone()) resolve(); else setImmediate(check) }
    check()
  })
  const servingIds = () => fleet.servingTargets('model').map(({ id }) => id).sort()
  standin.put('config', 'main', configuration(4))
  standin.put('servers', 'a', entry())
  standin.put('servers', 'b', entry())
  followFleet(fleet, { store, format: createFleetFormat(log), log, runtime, signal: controller.signal, isStoreUpForPeers: () => false, isReader: () => true, isConfigurationWatcher: () => false })
  await until(() => fleet.configuration()?.version === 4 && servingIds().length === 2)
  const copy = standin.copy()
  for (let count = 0; count < 20; count++) standin.put('servers', 'a', entry())
  await until(() => fleet.revision() === copy.revision + 20)
  return {
    standin,
    fleet,
    copy,
    newEras,
    servingIds,
    until,
    async [Symbol.asyncDispose] () {
      controller.abort()
      await store[Symbol.asyncDispose]()
      await standin[Symbol.asyncDispose]()
    }
  }
}

test('an engine that leaves after a drill gets nothing more, though the revisions are lower than before', async t => {
  await using reader = await startReader()
  reader.standin.restore(reader.copy)
  reader.standin.put('servers', 'a', entry('draining'))
  await reader.until(() => reader.servingIds().join() === 'b')
  reader.standin.put('config', 'main', configuration(5))
  await reader.until(() => reader.fleet.configuration()?.version === 5)
  t.deepEqual(reader.newEras, [{ era: 2, revision: reader.copy.revision + 1, previousEra: 1, previousRevision: reader.copy.revision + 20 }])
})

test('a drill is noticed although the store has given out the revision of the host again by then', async t => {
  await using reader = await startReader()
  reader.standin.restore(reader.copy)
  reader.standin.put('servers', 'b', entry('draining'))
  for (let count = 0; count < 30; count++) reader.standin.put('servers', 'a', entry())
  await reader.until(() => reader.servingIds().join() === 'a')
  t.is(reader.fleet.era(), 2)
})

test('an engine that started after the copy was taken stays in use until it is written again, or until its time for that is over', async t => {
  await using reader = await startReader()
  for (const id of ['c', 'd']) reader.standin.put('servers', id, entry())
  await reader.until(() => reader.servingIds().length === 4)
  reader.standin.restore(reader.copy)
  await reader.until(() => reader.fleet.era() === 2)
  t.deepEqual(reader.servingIds(), ['a', 'b', 'c', 'd'])
  reader.standin.put('servers', 'c', entry())
  await reader.until(() => reader.servingIds().length === 3)
  t.deepEqual(reader.servingIds(), ['a', 'b', 'c'])
})

test('a store that does not say its era is followed as before', async t => {
  await using reader = await startReader({ era: undefined })
  reader.standin.put('servers', 'b', entry('draining'))
  await reader.until(() => reader.servingIds().join() === 'a')
  t.is(reader.fleet.era(), undefined)
})

/** Follows a store whose answers are given one after the other; the last one is never answered. */
async function followAnswers (lists: ListResult[], watches: WatchResult[]) {
  const clock = createManualRuntime()
  const fleet = createFleetState({ runtime: clock })
  const controller = new AbortController()
  const log = createTestLog()
  const isStaleAllowed: boolean[] = []
  const store: Pick<ObjectStore, 'list' | 'watch'> = {
    async list (prefix, { mayBeStale = false } = {}) {
      if (prefix !== 'servers/') return { kind: 'listed', revision: 0, objects: [] }
      isStaleAllowed.push(mayBeStale)
      return await (lists.shift() ?? new Promise(() => {}))
    },
    async watch (prefix) { return await ((prefix === 'servers/' ? watches.shift() : undefined) ?? new Promise(() => {})) }
  }
  followFleet(fleet, {
    store: store as ObjectStore,
    format: { configurationKey: 'config/main', targetPrefix: 'servers/', decodeConfiguration: () => undefined, decodeTarget: ({ key, value }) => ({ ...buildEngine(key.slice('servers/'.length), 'north', 'small'), isLeaving: value === 'draining' }) },
    log,
    runtime: clock,
    signal: controller.signal,
    isStoreUpForPeers: () => false,
    isReader: () => true,
    isConfigurationWatcher: () => false
  })
  for (let step = 0; step < 20; step++) {
    await clock.advance(200)
    await clock.settle()
  }
  controller.abort()
  return { serving: fleet.servingTargets('model').map(({ id }) => id), position: [fleet.era(), fleet.revision()], isStaleAllowed }
}

const objects = (...entries: Array<[string, string]>) => entries.map(([id, value]) => ({ key: `servers/${id}`, version: 1, value }))

test('an answer of an earlier era that arrives late changes nothing', async t => {
  const { serving, position } = await followAnswers([
    { kind: 'listed', era: 2, revision: 50, objects: objects(['a', 'ready']) },
    { kind: 'listed', era: 1, revision: 95, objects: objects(['a', 'ready'], ['b', 'ready']) },
    { kind: 'listed', era: 2, revision: 51, objects: objects(['a', 'ready'], ['c', 'ready']) }
  ], [
    { kind: 'reset' },
    { kind: 'changes', era: 1, revision: 99, objects: objects(['d', 'ready']), removedKeys: ['servers/a'] },
    { kind: 'changes', era: 2, revision: 52, objects: objects(['e', 'ready']) }
  ])
  t.deepEqual(serving, ['a', 'c', 'e'])
  t.deepEqual(position, [2, 52])
})

test('changes of a later era are not applied to what is known of an earlier one; the host lists anew, and not from a copy that may be old', async t => {
  const { serving, position, isStaleAllowed } = await followAnswers([
    { kind: 'listed', era: 1, revision: 95, objects: objects(['a', 'ready'], ['b', 'ready']) },
    { kind: 'listed', era: 2, revision: 52, objects: objects(['a', 'draining'], ['b', 'ready']) }
  ], [{ kind: 'changes', era: 2, revision: 96, objects: objects(['c', 'ready']) }])
  t.deepEqual(serving, ['b'])
  t.deepEqual(position, [2, 52])
  t.deepEqual(isStaleAllowed, [true, false])
})
