import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createLinkState } from './index.js'

function createState () {
  const runtime = createManualRuntime()
  const changes: Array<[boolean, string[]]> = []
  return { runtime, changes, links: createLinkState({ runtime, onChange: (...change) => { changes.push(change) } }) }
}

test('a host is cut off once peers reach two targets that it does not reach itself', t => {
  const { links, changes } = createState()
  links.noteContradicted('a')
  t.deepEqual([links.isCutOff(), links.isRelayed('a'), links.isRelayed('b')], [false, true, false])
  links.noteContradicted('b')
  t.deepEqual([links.isCutOff(), links.isRelayed('c')], [true, true])
  t.deepEqual(changes, [[true, ['a', 'b']]])
})

test('one connect of its own shows that a host is not cut off', async t => {
  const { runtime, links, changes } = createState()
  links.noteContradicted('a')
  await runtime.advance(10)
  links.noteConnected('c')
  await runtime.advance(10)
  links.noteContradicted('b')
  t.false(links.isCutOff(), 'part of its links are lost')
  t.true(links.isRelayed('a'))
  links.noteContradicted('a')
  t.true(links.isCutOff())
  await runtime.advance(10)
  links.noteConnected('a')
  t.false(links.isCutOff())
  t.false(links.isRelayed('a'))
  t.deepEqual(changes.map(([isCutOff]) => isCutOff), [true, false])
})

test('the link to one target is tried again after a second, also while peers are used all the time', async t => {
  const { runtime, links } = createState()
  for (let elapsedMs = 0; elapsedMs < 1_000; elapsedMs += 100) {
    links.noteContradicted('a')
    t.true(links.isRelayed('a'))
    await runtime.advance(100)
  }
  t.false(links.isRelayed('a'))
  links.noteContradicted('a')
  t.true(links.isRelayed('a'))
})

test('a host stays cut off while it uses peers, and tries for itself when it has not for long', async t => {
  const { runtime, links } = createState()
  for (let elapsedMs = 0; elapsedMs < 30_000; elapsedMs += 1_000) {
    links.noteContradicted('a')
    links.noteContradicted('b')
    t.true(links.isCutOff())
    await runtime.advance(1_000)
  }
  await runtime.advance(10_000)
  t.false(links.isCutOff())
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
