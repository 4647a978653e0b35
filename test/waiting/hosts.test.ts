import fc from 'fast-check'
import test from 'ava'
import { createQueueHosts, type HostOutcome, type QueueHostsOptions } from '../fakes/createQueueHosts.js'

const OBJECTIVE_MS = 500

const refusedLate = ({ outcome }: HostOutcome): boolean => outcome.kind === 'refused' && outcome.waitedMs > OBJECTIVE_MS / 8

/** Sends requests evenly over the hosts for some seconds, and waits for their outcomes. */
async function overload (options: QueueHostsOptions, { arrivalsPerS, seconds }: { arrivalsPerS: number, seconds: number }): Promise<HostOutcome[]> {
  const hosts = createQueueHosts(options)
  for (let arrival = 0; arrival < arrivalsPerS * seconds; arrival++) {
    hosts.send(arrival * 7 % options.hostCount)
    await hosts.runtime.advance(1_000 / arrivalsPerS)
  }
  await hosts.runtime.advance(2_000)
  return hosts.outcomes
}

test('many hosts with a few waiting each refuse on arrival what all of them together cannot serve', async t => {
  const load = { arrivalsPerS: 160, seconds: 6 }
  const site = { hostCount: 40, places: 80, holdMs: 1_000 }
  const outcomes = await overload(site, load)
  const late = outcomes.filter(refusedLate).length
  t.true(late <= 0.02 * outcomes.length, `${late} of ${outcomes.length} refused late`)
  const unheard = (await overload({ ...site, isHeard: false }, load)).filter(refusedLate).length
  t.true(unheard > 10 * late, `${unheard} refused late by hosts that do not hear each other`)
})

test('what is served under an excess is mostly in time', async t => {
  const outcomes = await overload({ hostCount: 20, places: 60, holdMs: 1_000 }, { arrivalsPerS: 120, seconds: 6 })
  const placed = outcomes.flatMap(({ outcome }) => outcome.kind === 'placed' ? [outcome.waitedMs] : [])
  t.true(placed.length >= 5 * 60)
  t.true(placed.filter(waitedMs => waitedMs <= 350).length >= 0.8 * placed.length, `${placed.filter(waitedMs => waitedMs <= 350).length} of ${placed.length}`)
})

test('whatever arrives, whichever host ends: nothing waits beyond what it was told, and no account takes all', async t => {
  await fc.assert(fc.asyncProperty(
    fc.integer({ min: 2, max: 8 }),
    fc.array(fc.record({ host: fc.nat(63), rank: fc.nat(2), account: fc.constantFrom('big', 'big', 'big', 'small'), gapMs: fc.nat(40), isStopped: fc.nat(60).map(value => value === 0) }), { minLength: 60, maxLength: 160 }),
    async (hostCount, steps) => {
      const hosts = createQueueHosts({ hostCount, places: 6, holdMs: 300 })
      let sent = 0
      for (const { host, rank, account, gapMs, isStopped } of steps) {
        const index = host % hostCount
        if (isStopped && index > 0) hosts.stop(index)
        if (hosts.isAlive(index)) {
          hosts.send(index, { rank, account })
          sent++
        }
        await hosts.runtime.advance(gapMs)
      }
      await hosts.runtime.advance(2_000)
      const served = (account: string): number => hosts.outcomes.filter(result => result.account === account && result.outcome.kind === 'placed').length / Math.max(1, hosts.outcomes.filter(result => result.account === account).length)
      const isStarved = hosts.outcomes.filter(({ account }) => account === 'small').length >= 10 && served('small') < 0.25 * served('big')
      return hosts.outcomes.length === sent && !isStarved && hosts.outcomes.every(({ outcome }) => outcome.kind === 'aborted' || outcome.waitedMs <= 1_500)
    }
  ), { numRuns: 25 })
  t.pass()
})

test('returns of all hosts together stay within their share of the places, and no slot is handed out twice', async t => {
  const hosts = createQueueHosts({ hostCount: 10, places: 40, holdMs: 1_000 })
  const dueMs: number[] = []
  for (let arrival = 0; arrival < 600; arrival++) {
    const host = arrival % 10
    hosts.send(host)
    await hosts.runtime.advance(10)
    const refused = hosts.outcomes.filter(({ outcome }) => outcome.kind === 'refused').length
    if (refused <= dueMs.length) continue
    const plan = hosts.dispatchers[host]!.planReturn({ rank: 1, leftMs: 20_000, expectedWaitMs: 0 })
    dueMs.push(plan?.isSlot === true ? hosts.runtime.monotonicMs() + plan.retryAfterMs : NaN)
  }
  const slots = dueMs.filter(Number.isFinite)
  t.true(slots.length > 20)
  for (let fromMs = 0; fromMs < 15_000; fromMs += 1_000) {
    const inSecond = slots.filter(atMs => atMs >= fromMs && atMs < fromMs + 1_000).length
    // A quarter of 40 places a second, and one slot of each host at the bounds of the second.
    t.true(inSecond <= 10 + 10, `${inSecond} returns in the second from ${fromMs} ms`)
  }
})
