import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import { repeatTask } from './index.js'

test('a task continues after a round that throws, and the error is logged', async t => {
  const runtime = createManualRuntime()
  const log = createTestLog()
  const controller = new AbortController()
  let rounds = 0
  const done = repeatTask(() => {
    if (++rounds === 2) throw new Error('odd state')
  }, { intervalMs: 10, task: 'test', runtime, log, signal: controller.signal })
  await runtime.advance(35)
  controller.abort()
  await done
  t.is(rounds, 4)
  t.like(log.recent()[0], { name: 'unexpectedError', task: 'test' })
})

test('a long round is followed by the next one after the interval, and by none once aborted', async t => {
  const runtime = createManualRuntime()
  const controller = new AbortController()
  let rounds = 0
  const done = repeatTask(() => new Promise<void>(resolve => {
    rounds++
    runtime.setTimer(30, resolve)
  }), { intervalMs: 10, task: 'test', runtime, log: createTestLog(), signal: controller.signal })
  await runtime.advance(75)
  t.is(rounds, 2)
  controller.abort()
  await runtime.advance(100)
  await done
  t.is(rounds, 2)
})
