import test from 'ava'
import fc from 'fast-check'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createRetryBudget } from './index.js'

const OPTIONS = { ratio: 0.2, extraRetries: 196, windowMs: 10_000 }

test('all hosts together stay within the budget in any window', async t => {
  await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 8 }), fc.array(fc.tuple(fc.nat({ max: 400 }), fc.nat({ max: 60 }), fc.nat({ max: 90 })), { maxLength: 60 }), async (hostCount, steps) => {
    const runtime = createManualRuntime()
    const hosts = Array.from({ length: hostCount }, () => createRetryBudget({ ...OPTIONS, runtime, hostCount: () => hostCount }))
    const requests: number[] = []
    const retries: number[] = []
    for (const [index, [pauseMs, requestCount, tries]] of steps.entries()) {
      await runtime.advance(pauseMs)
      const host = hosts[index % hostCount]!
      for (let count = 0; count < requestCount; count++) { host.countRequest('s'); requests.push(runtime.monotonicMs()) }
      for (let count = 0; count < tries; count++) if (host.trySpend('s')) retries.push(runtime.monotonicMs())
    }
    const countInWindow = (times: number[], endMs: number): number => times.filter(time => time > endMs - OPTIONS.windowMs && time <= endMs).length
    const countInWindowBefore = (times: number[], endMs: number): number => times.filter(time => time > endMs - 2 * OPTIONS.windowMs && time <= endMs - OPTIONS.windowMs).length
    return retries.every(time => countInWindow(retries, time) <= OPTIONS.ratio * Math.max(countInWindow(requests, time), countInWindowBefore(requests, time)) + OPTIONS.extraRetries)
  }), { seed: 20261204, numRuns: 60 })
  t.pass()
})

test('one service does not spend the budget of another', t => {
  const budget = createRetryBudget({ ...OPTIONS, runtime: createManualRuntime(), hostCount: () => 6 })
  while (budget.trySpend('a'));
  t.true(budget.trySpend('b'))
})

test('those that wait for a retry get the next ones, ahead of others', async t => {
  const runtime = createManualRuntime()
  const budget = createRetryBudget({ ratio: 0, extraRetries: 5, windowMs: 10_000, runtime, hostCount: () => 1 })
  while (budget.trySpend('a'));
  const served: string[] = []
  const gone = new AbortController()
  budget.spendWhenLeft('a', gone.signal).then(isSpent => served.push(`gone ${isSpent}`))
  budget.spendWhenLeft('a', new AbortController().signal).then(isSpent => served.push(`stays ${isSpent}`))
  gone.abort()
  await runtime.advance(9_000)
  t.deepEqual(served, ['gone false'])
  await runtime.advance(1_000)
  t.deepEqual(served, ['gone false', 'stays true'])
  t.is(budget.left('a'), 2)
})

test('a retry that is waited for is not left for others', async t => {
  const runtime = createManualRuntime()
  const budget = createRetryBudget({ ratio: 0, extraRetries: 2, windowMs: 1_000, runtime, hostCount: () => 1 })
  while (budget.trySpend('a'));
  budget.spendWhenLeft('a', new AbortController().signal)
  await runtime.advance(999)
  t.false(budget.trySpend('a'))
  await runtime.advance(1)
  t.false(budget.trySpend('a'))
})
