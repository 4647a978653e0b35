import test from 'ava'
import { createCrashDetector } from '../../src/gateway/_lib/createCrashDetector.js'
import { createTargetCheck } from '../../src/gateway/_lib/createTargetCheck.js'
import type { LinkCheck } from '../../src/links/createTargetLinks/index.js'
import { buildEngine } from '../fakes/buildFleet.js'

const target = buildEngine('i-1', 'north', 'large')

/** Checks that end when told. */
function createHeldChecks () {
  const ends: Array<(result: LinkCheck) => void> = []
  const checkTarget = createTargetCheck({ links: { check: () => new Promise(resolve => { ends.push(resolve) }) } })
  return { ends, checkTarget }
}

test('a check that began before the question is no answer, and those who ask meanwhile share the next', async t => {
  const { ends, checkTarget } = createHeldChecks()
  const first = checkTarget(target)
  const later = [checkTarget(target), checkTarget(target)]
  t.is(ends.length, 1)
  ends[0]!('reached')
  t.is(await first, 'reached')
  ends[1]!('unreachable')
  t.deepEqual(await Promise.all(later), ['unreachable', 'unreachable'])
  t.is(ends.length, 2)
})

test('a result is not remembered', async t => {
  const { ends, checkTarget } = createHeldChecks()
  const before = checkTarget(target)
  ends[0]!('reached')
  await before
  const after = checkTarget(target)
  ends[1]!('unreachable')
  t.is(await after, 'unreachable')
})

test('a target that was there a moment ago has crashed if it is gone now', async t => {
  const results: LinkCheck[] = ['reached', 'unreachable', 'unknown', 'relayed']
  const hasCrashed = createCrashDetector({ checkTarget: createTargetCheck({ links: { check: async () => results.shift()! } }) })
  const seen: boolean[] = []
  for (let index = 0; index < 4; index++) seen.push(await hasCrashed(target))
  t.deepEqual(seen, [false, true, false, false])
})
