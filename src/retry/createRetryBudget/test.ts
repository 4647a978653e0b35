import test from 'ava'
import fc from 'fast-check'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createRetryBudget } from './index.js'

const BOUNDS = { ratio: 0.2, extraRetries: 196, windowMs: 10_000 }

test('all hosts together stay within the budget in any window', async t => {
  await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 8 }), fc.array(fc.tuple(fc.nat({ max: 400 }), fc.nat({ max: 60 }), fc.nat({ max: 90 })), { maxLength: 60 }), async (hostCount, steps) => {
    const runtime = createManualRuntime()
    const hosts = Array.from({ length: hostCount }, () => createRetryBudget({ ...BOUNDS, runtime, hostCount: () => hostCount }))
    const requests: number[] = []
    const repeats: number[] = []
    for (const [index, [pauseMs, requestCount, tries]] of steps.entries()) {
      await runtime.advance(pauseMs)
      const host = hosts[index % hostCount]!
      for (let count = 0; count < requestCount; count++) { host.countRequest('s'); requests.push(runtime.monotonicMs()) }
      for (let count = 0; count < tries; count++) if (host.trySpend('s')) repeats.push(runtime.monotonicMs())
    }
    const within = (times: number[], endMs: number): number => times.filter(time => time > endMs - BOUNDS.windowMs && time <= endMs).length
    const before = (times: number[], endMs: number): number => times.filter(time => time > endMs - 2 * BOUNDS.windowMs && time <= endMs - BOUNDS.windowMs).length
    return repeats.every(time => within(repeats, time) <= BOUNDS.ratio * Math.max(within(requests, time), before(requests, time)) + BOUNDS.extraRetries)
  }), { seed: 20261204, numRuns: 60 })
  t.pass()
})

test('one service does not spend the budget of another', t => {
  const budget = createRetryBudget({ ...BOUNDS, runtime: createManualRuntime(), hostCount: () => 6 })
  while (budget.trySpend('a'));
  t.true(budget.trySpend('b'))
})
