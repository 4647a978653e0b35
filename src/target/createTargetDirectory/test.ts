import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import { buildConfiguration } from '../../configuration/buildConfiguration/index.js'
import { createConfigurationHolder } from '../../configuration/createConfigurationHolder/index.js'
import type { ListedHost } from '../../hostList/types.js'
import type { TargetNotice } from '../types.js'
import { createTargetDirectory } from './index.js'

const POLL_MS = 1_000
const TARGETS = ['a', 'b', 'c', 'd', 'e', 'f']

const host = (name: string, change: Partial<ListedHost> = {}): ListedHost =>
  ({ name, address: `${name}:1`, failureDomain: 'x', state: 'live', ...change })

const suspicion = (target: string): TargetNotice => ({ target, address: `${target}:1`, state: 'suspected', remainingMs: 2_000 })

async function startDirectory (t: { teardown: (run: () => void) => void }) {
  const runtime = createManualRuntime()
  const log = createTestLog({ nowMs: runtime.nowMs })
  const holder = createConfigurationHolder({ runtime, log })
  const targets = TARGETS.map(name => ({ name, host: name, kind: 'engine' }))
  holder.applyIfNewer(buildConfiguration({ revision: 1, scopes: {}, nonce: '' }, new Map([['targets/all', { targets }]])), 'store')
  const directory = createTargetDirectory({ holder, runtime, log })
  const listed = { hosts: TARGETS.map(name => host(name)) }
  const controller = new AbortController()
  t.teardown(() => controller.abort())
  const hostList = { read: async () => ({ kind: 'listed' as const, hosts: listed.hosts }), async [Symbol.asyncDispose] () {} }
  directory.follow(hostList, { pollMs: POLL_MS, signal: controller.signal }).catch(t.teardown)
  await runtime.settle()
  const show = async (hosts: ListedHost[]): Promise<void> => {
    listed.hosts = hosts
    await runtime.advance(2 * POLL_MS)
  }
  return { runtime, directory, show }
}

test('a target is leaving as soon as any source says so', async t => {
  const { directory, show } = await startDirectory(t)
  directory.markLeaving('a', 'engine')
  directory.applyNotices([{ target: 'b', address: 'b:1', state: 'leaving', remainingMs: 0 }])
  t.deepEqual(['a', 'b', 'c'].map(directory.condition), ['leaving', 'leaving', 'usable'])
  await show(TARGETS.map(name => host(name, name === 'c' ? { state: 'leaving' } : {})))
  t.deepEqual(['a', 'b', 'c'].map(directory.condition), ['leaving', 'leaving', 'leaving'])
})

test('a leaving notice is not undone by a lagging host list nor by an answer', async t => {
  const { runtime, directory } = await startDirectory(t)
  directory.markLeaving('a', 'engine')
  directory.markReachable('a')
  await runtime.advance(60_000)
  t.is(directory.condition('a'), 'leaving')
})

test('a late notice about a replaced host does not touch its successor', async t => {
  const { directory, show } = await startDirectory(t)
  directory.markLeaving('a', 'hostList')
  await show(TARGETS.map(name => host(name, name === 'a' ? { address: 'a:2' } : {})))
  directory.applyNotices([{ target: 'a', address: 'a:1', state: 'leaving', remainingMs: 0 }])
  t.is(directory.condition('a'), 'usable')
})

test('late notices do not affect a host that left the list and returned', async t => {
  const { directory, show } = await startDirectory(t)
  directory.markLeaving('a', 'hostList')
  await show(TARGETS.slice(1).map(name => host(name)))
  t.is(directory.condition('a'), 'unlisted')
  await show(TARGETS.map(name => host(name)))
  directory.applyNotices([{ target: 'a', address: 'a:1', state: 'leaving', remainingMs: 0 }])
  t.is(directory.condition('a'), 'usable')
})

test('a suspicion reported by a peer expires', async t => {
  const { runtime, directory } = await startDirectory(t)
  directory.applyNotices([suspicion('a')])
  t.is(directory.condition('a'), 'suspected')
  await runtime.advance(2_000)
  t.is(directory.condition('a'), 'usable')
})

test('reported suspicions of most targets are ignored', async t => {
  const { directory } = await startDirectory(t)
  directory.markSuspected('f')
  directory.applyNotices(['a', 'b', 'c'].map(suspicion))
  t.deepEqual(['a', 'b', 'c', 'f'].map(directory.condition), ['usable', 'usable', 'usable', 'suspected'])
})
