import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { followStoreReaders, type FollowStoreReadersOptions } from './index.js'

const READERS = [{ address: '1:80', failureDomain: 'north' }, { address: '2:80', failureDomain: 'south' }]

function start (options: Partial<FollowStoreReadersOptions>) {
  const runtime = createManualRuntime()
  const controller = new AbortController()
  const polled: string[] = []
  const failingReaders = new Set<string>()
  const follower = followStoreReaders({
    ownDomain: 'north',
    isReader: () => false,
    readers: () => READERS,
    async pullChanges (address) {
      polled.push(address)
      await new Promise<void>(resolve => { runtime.setTimer(50, resolve) })
      return !failingReaders.has(address)
    },
    runtime,
    signal: controller.signal,
    ...options
  })
  return { runtime, controller, polled, failingReaders, follower }
}

test('the reader of the own domain is polled again and again', async t => {
  const { runtime, controller, polled, follower } = start({})
  await runtime.advance(160)
  controller.abort()
  t.deepEqual([...new Set(polled)], ['1:80'])
  t.true(polled.length >= 3)
  t.true(follower.isConnected())
})

test('after a reader has failed, another one is polled', async t => {
  const { runtime, controller, polled, failingReaders, follower } = start({})
  failingReaders.add('1:80')
  await runtime.advance(180)
  t.deepEqual(polled, ['1:80', '2:80'])
  t.false(follower.isConnected())
  await runtime.advance(60)
  t.true(follower.isConnected())
  controller.abort()
})

test('a host that is a reader, or knows none, polls nobody', async t => {
  for (const options of [{ isReader: () => true }, { readers: () => [] }]) {
    const { runtime, controller, polled, follower } = start(options)
    await runtime.advance(300)
    controller.abort()
    t.deepEqual(polled, [])
    t.false(follower.isConnected())
  }
})
