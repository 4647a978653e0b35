import test from 'ava'
import { rejectOnAbort } from './index.js'

test('a task settles as it does unless the signal aborts first', async t => {
  const controller = new AbortController()
  t.is(await rejectOnAbort(Promise.resolve('done'), controller.signal), 'done')
  await t.throwsAsync(rejectOnAbort(Promise.reject(new Error('failed')), controller.signal), { message: 'failed' })
  const pending = rejectOnAbort(new Promise(() => {}), controller.signal)
  controller.abort(new Error('too late'))
  await t.throwsAsync(pending, { message: 'too late' })
  await t.throwsAsync(rejectOnAbort(new Promise(() => {}), controller.signal), { message: 'too late' })
})

test('a task that fails after the signal has aborted fails unnoticed', async t => {
  const controller = new AbortController()
  let fail = (_error: Error): void => {}
  const task = rejectOnAbort(new Promise((_resolve, reject) => { fail = reject }), controller.signal)
  controller.abort(new Error('too late'))
  await t.throwsAsync(task, { message: 'too late' })
  fail(new Error('later'))
  await new Promise(resolve => { setImmediate(resolve) })
  t.pass()
})
