import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import { buildConfiguration } from '../../configuration/buildConfiguration/index.js'
import { createConfigurationHolder } from '../../configuration/createConfigurationHolder/index.js'
import { createSubject } from '../../stream/createSubject/index.js'
import type { TargetDirectory } from '../../target/types.js'
import type { Placement } from '../../ticket/types.js'
import type { PolicyName } from '../types.js'
import { createRouter } from './index.js'

const RATES = { slow: 100, fast: 300 }
const placement: Placement[] = Object.keys(RATES).map(target => ({ target, fromLayer: 0, toLayer: 4 }))

function setUp (policy: PolicyName) {
  const runtime = createManualRuntime()
  const log = createTestLog()
  const holder = createConfigurationHolder({ runtime, log })
  const changes = createSubject<string>()
  const lost = new Set<string>()
  const directory = { condition: (target: string) => lost.has(target) ? 'suspected' : 'usable', changes: changes.stream } as TargetDirectory
  const targets = Object.entries(RATES).map(([name, tokensPerS]) => ({ name, host: name, kind: 'engine', tokensPerS }))
  holder.applyIfNewer(buildConfiguration({ revision: 1, scopes: {}, nonce: '' }, new Map<string, unknown>([
    ['models/draft', { layers: 4, version: '1', placement }], ['targets/all', { targets }]
  ])), 'store')
  return { runtime, lost, changes, router: createRouter({ policy, holder, directory, runtime, log }) }
}

test('requests are distributed by flow share', t => {
  const { router } = setUp('flowShare')
  const chosen = Array.from({ length: 400 }, () => router.begin('draft', 10).pick(placement, []).target)
  t.is(chosen.filter(target => target === 'fast').length, 300)
})

test('requests are distributed by flow share when targets are idle', t => {
  const { router } = setUp('flowShare')
  const chosen = Array.from({ length: 400 }, () => {
    using route = router.begin('draft', 10)
    return route.pick(placement, []).target
  })
  t.is(chosen.filter(target => target === 'fast').length, 300)
})

test('a target that falls behind its share gets less', t => {
  const { router } = setUp('flowShare')
  const counts = { slow: 0, fast: 0 }
  for (let index = 0; index < 400; index++) {
    const route = router.begin('draft', 10)
    const { target } = route.pick(placement, [])
    counts[target as keyof typeof counts] += 1
    if (target === 'slow') route[Symbol.dispose]()
  }
  t.true(counts.slow > 120, `slow got ${counts.slow} of 400`)
})

test('a disposed route leaves no load behind, also after a second attempt', t => {
  const { router } = setUp('leastOutstanding')
  const route = router.begin('draft', 10)
  route.pick(placement, [])
  route.recordToken()
  route.pick(placement, [])
  t.is(router.outstandingTokens('draft'), 9)
  route[Symbol.dispose]()
  t.is(router.outstandingTokens('draft'), 0)
  const first = router.begin('draft', 10).pick(placement, []).target
  t.not(router.begin('draft', 10).pick(placement, []).target, first)
})

test('the bound follows the loss of a target', async t => {
  const { router, lost, changes, runtime } = setUp('flowShare')
  const controller = new AbortController()
  const following = router.follow(controller.signal)
  t.is(router.boundTokensPerS('draft'), 400)
  lost.add('fast')
  changes.next('fast')
  await runtime.advance(50)
  t.is(router.boundTokensPerS('draft'), 100)
  controller.abort()
  await following
})

test('a target that comes back gets its share gradually', async t => {
  const { router, lost, changes, runtime } = setUp('flowShare')
  const controller = new AbortController()
  const following = router.follow(controller.signal)
  lost.add('fast')
  router.boundTokensPerS('draft')
  await runtime.advance(1_000)
  lost.delete('fast')
  changes.next('fast')
  await runtime.advance(50)
  const measureFastShare = (): number => {
    const chosen = Array.from({ length: 200 }, () => {
      using route = router.begin('draft', 10)
      return route.pick(placement, []).target
    })
    return chosen.filter(target => target === 'fast').length / 200
  }
  t.true(measureFastShare() < 0.35, 'a tenth of 300 beside 100 tokens per second is a share of 0.23')
  await runtime.advance(20_000)
  measureFastShare()
  t.true(measureFastShare() > 0.7)
  controller.abort()
  await following
})
