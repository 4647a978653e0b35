import test from 'ava'
import { createAnswerRig } from '../../../test/fakes/createAnswerRig.js'

test('another entry continues an answer whose entry died, on the KV cache that is held', async t => {
  const rig = createAnswerRig()
  const before = rig.start()
  await rig.advanceUntilTokens(before, 5)
  before.kill()
  const after = (await rig.takeOver(before, { givenTokens: 5 }))!
  t.like(await rig.runToEnd(after), { kind: 'complete', tokens: 12 })
  t.deepEqual(rig.findFaults(after), [])
  t.deepEqual(rig.engines.rows().filter(row => row.mode === 'rebuild'), [])
})

test('tokens that the dead entry sent but the caller never received are sent again', async t => {
  const rig = createAnswerRig()
  const before = rig.start()
  await rig.advanceUntilTokens(before, 7)
  before.kill()
  const after = (await rig.takeOver(before, { givenTokens: 3 }))!
  await rig.runToEnd(after)
  t.is(after.frames[0]?.position, 3)
  t.deepEqual(rig.findFaults(after), [])
})

test('an answer is taken over although its first stage died with its entry', async t => {
  const rig = createAnswerRig()
  const before = rig.start()
  await rig.advanceUntilTokens(before, 5)
  before.kill()
  rig.engines.get('a').kill()
  const after = (await rig.takeOver(before, { givenTokens: 5 }))!
  t.like(await rig.runToEnd(after), { kind: 'complete', tokens: 12 })
  t.deepEqual(rig.findFaults(after), [])
})

test('an answer that was lost again is taken over at the positions of its earlier attempt', async t => {
  const rig = createAnswerRig()
  const before = rig.start()
  await rig.advanceUntilTokens(before, 4)
  rig.engines.get('b').kill()
  await rig.advanceUntilTokens(before, 7)
  before.kill()
  const after = (await rig.takeOver(before, { givenTokens: 2 }))!
  t.like(await rig.runToEnd(after), { kind: 'complete', tokens: 12 })
  t.deepEqual(rig.findFaults(after), [])
})

test('another entry delivers the end of an answer without running anything', async t => {
  const rig = createAnswerRig()
  const before = rig.start()
  await rig.advanceUntilTokens(before, 9)
  rig.engines.get('d').silence()
  await rig.runtime.advance(50)
  before.kill()
  const after = (await rig.takeOver(before, { givenTokens: 9 }))!
  t.like(await rig.runToEnd(after), { kind: 'complete', tokens: 12, attempts: 0 })
  t.deepEqual(rig.findFaults(after), [])
})

test('an entry that is cut off from its caller is superseded by the one that took over', async t => {
  const rig = createAnswerRig({ stepMs: 10 })
  const before = rig.start()
  await rig.advanceUntilTokens(before, 4)
  const after = (await rig.takeOver(before, { givenTokens: 4 }))!
  t.like(await rig.runToEnd(after), { kind: 'complete', tokens: 12 })
  t.like(await rig.runToEnd(before), { kind: 'failed', reason: 'targetFailed' })
  t.deepEqual(rig.findFaults(after), [])
})

test('an account cannot find the answer of another', async t => {
  const rig = createAnswerRig()
  const before = rig.start()
  await rig.advanceUntilTokens(before, 5)
  before.kill()
  t.is(await rig.takeOver(before, { givenTokens: 5, account: 'shop' }), undefined)
})

test('an answer is not found once its engines no longer hold it', async t => {
  const rig = createAnswerRig()
  const before = rig.start()
  await rig.advanceUntilTokens(before, 5)
  before.kill()
  await rig.runtime.advance(10_100)
  t.is(await rig.takeOver(before, { givenTokens: 5 }), undefined)
})

test('an entry that shuts down leaves its answers to another', async t => {
  const rig = createAnswerRig()
  const before = rig.start({}, { isHandedOver: () => true })
  await rig.advanceUntilTokens(before, 5)
  before.disconnectCaller()
  t.like(await rig.runToEnd(before), { kind: 'failed', reason: 'callerGone' })
  const after = (await rig.takeOver(before, { givenTokens: 5 }))!
  t.like(await rig.runToEnd(after), { kind: 'complete', tokens: 12 })
  t.deepEqual(rig.findFaults(after), [])
})
