import test from 'ava'
import { buildEngine, TEST_MODEL } from '../../../test/fakes/buildFleet.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createMoveRecord } from './index.js'

const target = buildEngine('e', 'north', 'small', { from: 0, to: 10 })
const path = [{ target, from: 0, to: 10 }]

test('an engine that refused a move is left alone until it can have room', async t => {
  const runtime = createManualRuntime()
  const record = createMoveRecord({ runtime, hostCount: () => 1 })
  record.noteRefused('e', 100_000)
  t.false(record.mayTake('e', 100_000))
  t.false(record.mayTake('e', 99_000))
  t.true(record.mayTake('other', 100_000))
  t.true(record.mayTake('e', 90_000))
  record.noteRefused('e', 100_000)
  await runtime.advance(500)
  t.true(record.mayTake('e', 100_000))
})

test('a host orders its share of what an engine reads in a window, and at least one stream', async t => {
  const runtime = createManualRuntime()
  const record = createMoveRecord({ runtime, hostCount: () => 10 })
  let moved = 0
  for (; record.mayTake('e', 0) && moved < 100; moved++) record.noteMove(path, [], 944, TEST_MODEL)
  t.is(moved, 2)
  record.noteMove([{ target: { ...target, id: 'slow' }, from: 0, to: 10 }], [], 9_440, TEST_MODEL)
  t.false(record.mayTake('slow', 0))
  await runtime.advance(100)
  t.true(record.mayTake('e', 0))
  record.noteMove(path, path, 944, TEST_MODEL)
  record.noteMove(path, path, 944, TEST_MODEL)
  t.true(record.mayTake('e', 0))
})
