import test from 'ava'
import { createCrashDetector } from '../../src/gateway/_lib/createCrashDetector.js'
import { createTargetCheck } from '../../src/gateway/_lib/createTargetCheck.js'
import type { LinkCheck } from '../../src/links/createTargetLinks/index.js'
import { buildEngine } from '../fakes/buildFleet.js'
import { createManualRuntime } from '../fakes/createManualRuntime.js'

const target = buildEngine('i-1', 'north', 'large')

/** Time that the kernel may take to close all connections of a process, in milliseconds. */
const EXIT_MS = 25

/** Checks that end when told. */
function createHeldChecks () {
  const runtime = createManualRuntime()
  const ends: Array<(result: LinkCheck) => void> = []
  const checkTarget = createTargetCheck({ links: { check: () => new Promise(resolve => { ends.push(resolve) }) }, runtime })
  return { ends, checkTarget, runtime }
}

test('a check begins once the kernel has closed all connections of a process that has ended', async t => {
  const { ends, checkTarget, runtime } = createHeldChecks()
  const check = checkTarget(target)
  await runtime.advance(EXIT_MS - 1)
  t.is(ends.length, 0)
  await runtime.advance(1)
  ends[0]!('reached')
  t.is(await check, 'reached')
})

test('a check that began before the question is no answer, and those who ask meanwhile share the next', async t => {
  const { ends, checkTarget, runtime } = createHeldChecks()
  const first = checkTarget(target)
  await runtime.advance(EXIT_MS)
  const later = [checkTarget(target), checkTarget(target)]
  await runtime.advance(EXIT_MS)
  t.is(ends.length, 1)
  ends[0]!('reached')
  t.is(await first, 'reached')
  await runtime.settle()
  ends[1]!('unreachable')
  t.deepEqual(await Promise.all(later), ['unreachable', 'unreachable'])
  t.is(ends.length, 2)
})

test('a result is not remembered', async t => {
  const { ends, checkTarget, runtime } = createHeldChecks()
  const before = checkTarget(target)
  await runtime.advance(EXIT_MS)
  ends[0]!('reached')
  await before
  const after = checkTarget(target)
  await runtime.advance(EXIT_MS)
  ends[1]!('unreachable')
  t.is(await after, 'unreachable')
})

test('a target that was there a moment ago has crashed if it is gone now', async t => {
  const runtime = createManualRuntime()
  const results: LinkCheck[] = ['reached', 'unreachable', 'unknown', 'relayed']
  const hasCrashed = createCrashDetector({ checkTarget: createTargetCheck({ links: { check: async () => results.shift()! }, runtime }) })
  const seen: boolean[] = []
  for (let index = 0; index < 4; index++) {
    const question = hasCrashed(target)
    await runtime.advance(EXIT_MS)
    seen.push(await question)
  }
  t.deepEqual(seen, [false, true, false, false])
})
