import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import { createTargetPauses, type TargetPauses } from './index.js'

const ENGINE = { id: 'i-1', bornMs: 1 }
const DETAILS = { request: 'r1' }

function createPauses () {
  const runtime = createManualRuntime()
  const log = createTestLog()
  return { runtime, log, pauses: createTargetPauses({ runtime, log }) }
}

/** Sends a target whatever it may get, up to a bound; returns how many requests that were. */
function takeAll (pauses: TargetPauses): number {
  let count = 0
  while (count < 100 && pauses.mayTake('i-1')) {
    pauses.take('i-1')
    count++
  }
  return count
}

test('a target gets no request until its pause has ended', async t => {
  const { runtime, pauses } = createPauses()
  pauses.note(ENGINE, 3_000, DETAILS)
  await runtime.advance(2_999)
  t.false(pauses.mayTake('i-1'))
  t.is(pauses.leftMs('i-1'), 1)
  await runtime.advance(1)
  t.true(pauses.mayTake('i-1'))
})

test('a request that the target takes during a pause does not end it', async t => {
  const { runtime, pauses } = createPauses()
  pauses.note(ENGINE, 3_000, DETAILS)
  await runtime.advance(1_000)
  pauses.noteTaken('i-1')
  t.false(pauses.mayTake('i-1'))
  t.is(pauses.count(), 1)
})

test('a shorter pause does not shorten one that is known', async t => {
  const { runtime, pauses } = createPauses()
  pauses.note(ENGINE, 3_000, DETAILS)
  await runtime.advance(500)
  pauses.note(ENGINE, 500, DETAILS)
  await runtime.advance(2_000)
  t.false(pauses.mayTake('i-1'))
})

test('after a pause a target gets a few requests, and the others once it has taken one', async t => {
  const { runtime, log, pauses } = createPauses()
  pauses.note(ENGINE, 3_000, DETAILS)
  await runtime.advance(3_000)
  t.is(takeAll(pauses), 8)
  pauses.noteTaken('i-1')
  t.true(pauses.mayTake('i-1'))
  t.deepEqual(log.recent().map(({ name }) => name), ['targetPauseRequested', 'targetPauseEnded'])
})

test('first requests that are never answered do not hold back others for long', async t => {
  const { runtime, pauses } = createPauses()
  pauses.note(ENGINE, 3_000, DETAILS)
  await runtime.advance(3_000)
  takeAll(pauses)
  await runtime.advance(1_000)
  t.true(pauses.mayTake('i-1'))
})

test('a pause of years is bounded', async t => {
  const { runtime, log, pauses } = createPauses()
  pauses.note(ENGINE, 1e12, DETAILS)
  await runtime.advance(300_000)
  t.true(pauses.mayTake('i-1'))
  t.like(log.recent()[0], { name: 'targetPauseRequested', isBounded: true })
})

test('a target of which nothing is known takes any number of requests', t => {
  const { pauses } = createPauses()
  pauses.take('i-1')
  pauses.take('i-1')
  t.true(pauses.mayTake('i-1'))
})

test('a target that has started again is in no pause, one whose entry is missing still is', t => {
  const { pauses } = createPauses()
  pauses.note(ENGINE, 3_000, DETAILS)
  pauses.forgetRestarted([])
  t.false(pauses.mayTake('i-1'))
  pauses.forgetRestarted([{ id: 'i-1', bornMs: 2 }])
  t.true(pauses.mayTake('i-1'))
})
