import test from 'ava'
import { createPauseLimits, type PausingStream } from './index.js'

/** Lets a number of streams get their first event after some time. */
function runStreams (limits: ReturnType<typeof createPauseLimits>, count: number, firstEventMs: number): void {
  for (let index = 0; index < count; index++) {
    const stream: PausingStream = { hasStarted: false, meanPauseMs: 0, lastProgressMs: 0 }
    limits.observe([stream])
    limits.observe([stream])
    Object.assign(stream, { hasStarted: true, lastProgressMs: firstEventMs })
    limits.observe([stream])
    Object.assign(stream, { lastProgressMs: 60_000 })
    limits.observe([stream])
  }
}

const waiting: PausingStream = { hasStarted: false, meanPauseMs: 0, lastProgressMs: 0 }

test('streams that wait for their first event as long as all others are not in doubt', t => {
  const limits = createPauseLimits()
  t.is(limits.limitMs(waiting), 400)
  runStreams(limits, 40, 350)
  t.true(limits.limitMs(waiting) > 650)
  runStreams(limits, 40, 900)
  t.is(limits.limitMs(waiting), 1_000)
  runStreams(limits, 40, 60)
  t.is(limits.limitMs(waiting), 400)
})

test('the limit of a running stream follows its own pauses', t => {
  const limits = createPauseLimits()
  const limitOf = (meanPauseMs: number): number => limits.limitMs({ hasStarted: true, meanPauseMs, lastProgressMs: 0 })
  t.deepEqual([1, 20, 40, 100, 500].map(limitOf), [40, 80, 110, 200, 400])
})
