import test from 'ava'
import fc from 'fast-check'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { accountSchema } from '../../ticket/types.js'
import { createAccountLimits } from './index.js'

function createAccount (limits: Record<string, number>) {
  return accountSchema.parse({ name: 'studio', tokenHash: `sha256:${'0'.repeat(16)}:${'0'.repeat(64)}`, limits })
}

test('the shares of all entries add up to the limit in flight', t => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 40 }), fc.integer({ min: 1, max: 12 }), (inFlight, entries) => {
    const account = createAccount({ inFlight })
    let granted = 0
    for (let rank = 0; rank < entries; rank++) {
      const limits = createAccountLimits({ rank: () => ({ entries, rank }), runtime: createManualRuntime() })
      while (limits.acquire(account, 1).kind === 'granted') granted += 1
    }
    return granted === inFlight
  }), { seed: 6 })
  t.pass()
})

test('a rate limit holds over time and its refusal says when to retry', async t => {
  const runtime = createManualRuntime()
  const limits = createAccountLimits({ rank: () => ({ entries: 2, rank: 0 }), runtime })
  const account = createAccount({ tokensPerS: 200 })
  let tokens = 0
  for (let step = 0; step < 100; step++) {
    if (limits.acquire(account, 30).kind === 'granted') tokens += 30
    await runtime.advance(100)
  }
  t.true(tokens <= 10 * 100 + 25 + 30, `${tokens} tokens in 10 s at a share of 100 a second`)
  t.true(tokens >= 950, `${tokens} tokens in 10 s`)
  while (limits.acquire(account, 30).kind === 'granted');
  const refused = limits.acquire(account, 30)
  t.like(refused, { kind: 'refused', limit: 'tokensPerS', allowed: 200, share: 100 })
  if (refused.kind !== 'refused') return
  await runtime.advance(refused.retryAfterMs)
  t.is(limits.acquire(account, 30).kind, 'granted')
})
