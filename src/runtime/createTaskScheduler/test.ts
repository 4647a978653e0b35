import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import { createTaskScheduler } from './index.js'

function start (run: (round: number) => number) {
  const runtime = createManualRuntime()
  const log = createTestLog()
  const controller = new AbortController()
  const roundsMs: number[] = []
  const scheduler = createTaskScheduler(() => {
    roundsMs.push(runtime.monotonicMs())
    return run(roundsMs.length)
  }, { task: 'test', runtime, log, signal: controller.signal })
  return { runtime, log, controller, roundsMs, scheduler }
}

test('an event brings the next round forward and never puts it off', async t => {
  const { runtime, controller, roundsMs, scheduler } = start(() => 100)
  scheduler.runWithin(10)
  scheduler.runWithin(50)
  await runtime.advance(30)
  scheduler.runWithin(20)
  await runtime.advance(150)
  controller.abort()
  t.deepEqual(roundsMs, [10, 50, 150])
  t.is(runtime.pendingTimers(), 0)
})

test('a scheduled task continues after a round that throws', async t => {
  const { runtime, log, controller, roundsMs, scheduler } = start(round => {
    if (round === 2) throw new Error('odd state')
    return 10
  })
  scheduler.runWithin(0)
  await runtime.advance(25)
  controller.abort()
  await runtime.advance(50)
  t.deepEqual(roundsMs, [0, 10, 20])
  t.like(log.recent()[0], { name: 'unexpectedError', task: 'test' })
})
