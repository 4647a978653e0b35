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

test('a suspicion of a peer counts, unless work went through the target since', async t => {
  const runtime = createManualRuntime()
  const [one, other] = [createSuspicions({ runtime }), createSuspicions({ runtime })]
  one.note('a', 'unreachable')
  await runtime.advance(100)
  other.applyPeerSuspicion(one.share()[0]!)
  t.true(other.isDown('a'))
  const third = createSuspicions({ runtime })
  third.note('a', 'progressed')
  third.applyPeerSuspicion({ targetId: 'a', ageMs: 50, leftMs: 2_450, isUnfit: true })
  t.false(third.isDown('a'))
})

test('a host shares its own suspicions and not those of its peers', t => {
  const runtime = createManualRuntime()
  const suspicions = createSuspicions({ runtime })
  suspicions.applyPeerSuspicion({ targetId: 'a', ageMs: 0, leftMs: 2_500, isUnfit: true })
  t.deepEqual(suspicions.share(), [])
})

test('failed answers slow a target gradually, and answers restore it', t => {
  const suspicions = createSuspicions({ runtime: createManualRuntime() })
  suspicions.note('a', 'failedAnswer')
  const once = suspicions.slownessOf('a')
  for (let count = 0; count < 5; count++) suspicions.note('a', 'failedAnswer')
  const often = suspicions.slownessOf('a')
  t.true(once > 1 && often > once)
  for (let count = 0; count < 20; count++) suspicions.note('a', 'answered')
  t.true(suspicions.slownessOf('a') < once)
})

test('a target that refuses is passed over, longer each time, and is unfit after three in a row', async t => {
  const runtime = createManualRuntime()
  const suspicions = createSuspicions({ runtime })
  suspicions.note('a', 'refused')
  t.true(suspicions.isDown('a'))
  t.false(suspicions.isUnfit('a'))
  await runtime.advance(250)
  t.false(suspicions.isDown('a'))
  suspicions.note('a', 'refused')
  await runtime.advance(250)
  t.true(suspicions.isDown('a'))
  suspicions.note('a', 'refused')
  t.true(suspicions.isUnfit('a'))
})

test('work that goes through a target ends its row of refusals', t => {
  const suspicions = createSuspicions({ runtime: createManualRuntime() })
  for (const observation of ['refused', 'refused', 'progressed', 'refused'] as const) suspicions.note('a', observation)
  t.false(suspicions.isUnfit('a'))
})

test('a target that is slower than its kind counts as slower, beside its failures', t => {
  const suspicions = createSuspicions({ runtime: createManualRuntime(), slowdownOf: id => id === 'a' ? 6 : 1 })
  t.is(suspicions.slownessOf('a'), 6)
  suspicions.note('a', 'lostAnswer')
  t.true(suspicions.slownessOf('a') > 6)
  t.is(suspicions.slownessOf('b'), 1)
})
