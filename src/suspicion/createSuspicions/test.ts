import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createSuspicions } from './index.js'

test('an unreachable target gets no work for a while and is then tried again', async t => {
  const runtime = createManualRuntime()
  const suspicions = createSuspicions({ runtime })
  suspicions.note('a', 'unreachable')
  t.is(suspicions.slownessOf('a'), Infinity)
  await runtime.advance(2_500)
  t.true(Number.isFinite(suspicions.slownessOf('a')))
})

test('a finding of a peer counts, unless work went through the target since', async t => {
  const runtime = createManualRuntime()
  const [one, other] = [createSuspicions({ runtime }), createSuspicions({ runtime })]
  one.note('a', 'unreachable')
  await runtime.advance(100)
  other.learn(one.share()[0]!)
  t.true(other.isDown('a'))
  const third = createSuspicions({ runtime })
  third.note('a', 'progressed')
  third.learn({ targetId: 'a', ageMs: 50 })
  t.false(third.isDown('a'))
})

test('a peer passes on what it saw itself and nothing that it learned', t => {
  const runtime = createManualRuntime()
  const suspicions = createSuspicions({ runtime })
  suspicions.learn({ targetId: 'a', ageMs: 0 })
  t.deepEqual(suspicions.share(), [])
})

test('failures of a grey target slow it by degrees, and answers restore it', t => {
  const suspicions = createSuspicions({ runtime: createManualRuntime() })
  suspicions.note('a', 'failedAnswer')
  const once = suspicions.slownessOf('a')
  for (let count = 0; count < 5; count++) suspicions.note('a', 'failedAnswer')
  const often = suspicions.slownessOf('a')
  t.true(once > 1 && often > once)
  for (let count = 0; count < 20; count++) suspicions.note('a', 'answered')
  t.true(suspicions.slownessOf('a') < once)
})
