import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import { watchStalls } from './index.js'

test('a timer that runs late is a stall, one that runs on time is none', async t => {
  const clock = createManualRuntime()
  let stoodStillMs = 0
  const runtime = { ...clock, monotonicMs: () => clock.monotonicMs() + stoodStillMs }
  const log = createTestLog()
  const delays: number[] = []
  watchStalls({ runtime, log, signal: new AbortController().signal, onDelay: lateMs => delays.push(lateMs) })
  await clock.advance(2_000)
  t.deepEqual(delays.filter(lateMs => lateMs > 0), [])
  stoodStillMs = 700
  await clock.advance(1_000)
  t.deepEqual(log.recent().filter(({ name }) => name === 'hostStalled').map(({ lateMs }) => lateMs), [700])
})

test('the last turn is now while the check is on time, and the last check once it is overdue', async t => {
  const clock = createManualRuntime()
  let stoodStillMs = 0
  const runtime = { ...clock, monotonicMs: () => clock.monotonicMs() + stoodStillMs }
  const stalls = watchStalls({ runtime, log: createTestLog(), signal: new AbortController().signal, onDelay: () => {} })
  await clock.advance(1_100)
  t.is(stalls.lastTurnMs(), 1_100)
  stoodStillMs = 700
  t.is(stalls.lastTurnMs(), 1_000)
  await clock.advance(150)
  t.is(stalls.lastTurnMs(), 1_950)
})
