import test from 'ava'
import { createFairQueue } from './index.js'

test('accounts are served by weight in tokens, however many requests one has waiting', t => {
  const queue = createFairQueue<string>()
  for (let index = 0; index < 100; index++) queue.push('bulk', { account: 'bulk', tokens: 10, weight: 1 })
  for (let index = 0; index < 10; index++) queue.push('shop', { account: 'shop', tokens: 10, weight: 2 })
  const served = Array.from({ length: 15 }, () => queue.shift()!.value)
  t.is(served.filter(value => value === 'shop').length, 10)
})

test('an account that was idle gains no credit', t => {
  const queue = createFairQueue<string>()
  for (let index = 0; index < 50; index++) queue.push('bulk', { account: 'bulk', tokens: 10, weight: 1 })
  for (let index = 0; index < 20; index++) queue.shift()
  t.is(queue.tokensAhead({ account: 'shop', tokens: 10, weight: 1 }), 10)
})
