import test from 'ava'
import { createWaiters } from './index.js'

test('waiters go on with the next release, or when their signal aborts', async t => {
  const waiters = createWaiters()
  const controller = new AbortController()
  const ended: string[] = []
  const released = waiters.wait(new AbortController().signal).then(() => ended.push('released'))
  const aborted = waiters.wait(controller.signal).then(() => ended.push('aborted'))
  controller.abort()
  await aborted
  t.deepEqual(ended, ['aborted'])
  waiters.release()
  await released
  t.deepEqual(ended, ['aborted', 'released'])
  await waiters.wait(controller.signal)
})
