import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createLinkState } from './index.js'

function createState () {
  const runtime = createManualRuntime()
  const changes: Array<[boolean, string[]]> = []
  return { runtime, changes, links: createLinkState({ runtime, onChange: (...change) => { changes.push(change) } }) }
}

test('a host takes all links for lost once peers reach two targets that it does not reach itself', t => {
  const { links, changes } = createState()
  links.noteLost('a')
  t.deepEqual([links.isImpaired(), links.isLost('a'), links.isLost('b')], [false, true, false])
  links.noteLost('b')
  t.deepEqual([links.isImpaired(), links.isLost('c')], [true, true])
  t.deepEqual(changes, [[true, ['a', 'b']]])
})

test('a host that reaches some targets uses peers for those that it does not reach, and no others', async t => {
  const { runtime, links, changes } = createState()
  for (const address of ['a', 'b', 'c']) links.noteLost(address)
  await runtime.advance(10)
  links.noteConnected('d')
  t.deepEqual(['a', 'b', 'c', 'd', 'e'].map(links.isLost), [true, true, true, false, false])
  await runtime.advance(10)
  links.noteLost('a')
  t.false(links.isLost('d'))
  t.true(links.isImpaired())
  t.is(changes.length, 1)
})

test('a link is sound again after a connect of the host itself, or once its target is gone', t => {
  const { links, changes } = createState()
  for (const address of ['a', 'b', 'c']) links.noteLost(address)
  links.noteConnected('a')
  t.deepEqual(links.lostAddresses(), ['b', 'c'])
  links.retain(new Set(['a', 'c']))
  t.deepEqual(links.lostAddresses(), ['c'])
  t.deepEqual(changes.map(([isImpaired]) => isImpaired), [true, false])
})

test('a failed connect is in doubt unless another one has succeeded since it began', async t => {
  const { runtime, links } = createState()
  t.true(links.isInDoubt(runtime.monotonicMs()))
  links.noteConnected('a')
  t.true(links.isInDoubt(runtime.monotonicMs()))
  await runtime.advance(50)
  links.noteConnected('a')
  t.false(links.isInDoubt(0))
  t.true(links.isInDoubt(runtime.monotonicMs()))
})
