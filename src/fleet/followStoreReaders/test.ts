import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { followStoreReaders, type FollowStoreReadersOptions } from './index.js'

const READERS = [{ address: '1:80', failureDomain: 'north' }, { address: '2:80', failureDomain: 'south' }]

function start (options: Partial<FollowStoreReadersOptions>) {
  const runtime = createManualRuntime()
  const controller = new AbortController()
  const asked: string[] = []
  const failing = new Set<string>()
  const follower = followStoreReaders({
    ownDomain: 'north',
    isReader: () => false,
    readers: () => READERS,
    async pullChanges (address) {
      asked.push(address)
      await new Promise<void>(resolve => { runtime.setTimer(50, resolve) })
      return !failing.has(address)
    },
    runtime,
    signal: controller.signal,
    ...options
  })
  return { runtime, controller, asked, failing, follower }
}

test('the reader of the own domain is asked again and again', async t => {
  const { runtime, controller, asked, follower } = start({})
  await runtime.advance(160)
  controller.abort()
  t.deepEqual([...new Set(asked)], ['1:80'])
  t.true(asked.length >= 3)
  t.true(follower.isConnected())
})

test('a reader that fails is left for one elsewhere', async t => {
  const { runtime, controller, asked, failing, follower } = start({})
  failing.add('1:80')
  await runtime.advance(180)
  t.deepEqual(asked, ['1:80', '2:80'])
  t.false(follower.isConnected())
  await runtime.advance(60)
  t.true(follower.isConnected())
  controller.abort()
})

test('a host that reads the targets itself, or hears no reader, asks nobody', async t => {
  for (const options of [{ isReader: () => true }, { readers: () => [] }]) {
    const { runtime, controller, asked, follower } = start(options)
    await runtime.advance(300)
    controller.abort()
    t.deepEqual(asked, [])
    t.false(follower.isConnected())
  }
})
