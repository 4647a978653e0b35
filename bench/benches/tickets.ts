/**
 * How soon tickets are in force on every daemon, and whether anything reverts or is misreported:
 * with a healthy store, with competing operators, with lost and late answers, with silent watches
 * and after the store was restored to an older state.
 */
import { build } from 'hdr-histogram-js'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { readEvents, startDeployment, type Deployment, type StartedProcess } from '../startDeployment/index.js'
import { findMisreported, type Submitted } from '../_lib/judgeTickets.js'

const ENTRIES = 7
const CONTROLS = 2

/** Tickets of the phase that is timed, and rounds of the others. */
const HEALTHY_TICKETS = 60
const COMPETING_ROUNDS = 20
const LOST_ROUNDS = 15
const LATE_ROUNDS = 8
const SILENT_ROUNDS = 3
const RESTORED_TICKETS = 4

/** Operators that submit at once in a competing round. */
const COMPETITORS = 3

/** How late a held write takes effect, and how long an outcome may stay unknown. */
const LATE_MS = 400
const DECISION_LIMIT_MS = 30_000

/** How long the store's calls are counted while nothing is submitted. */
const IDLE_MS = 5_000

/** Longest wait until every daemon has the last revision. */
const SPREAD_LIMIT_MS = 20_000

type Draw = (below: number) => number

interface Run {
  deployment: Deployment
  daemons: StartedProcess[]
  draw: Draw
  submitted: Submitted[]
  nextNumber: () => number
}

/** Runs the bench. */
export async function run ({ seed }: { seed: number }): Promise<Record<string, unknown>> {
  await using deployment = await startDeployment({ entries: ENTRIES, controls: CONTROLS, plan: {} })
  const generator = xoroshiro128plus(seed)
  const draw: Draw = below => (generator.next() >>> 0) % below
  let number = 0
  const daemons = [...deployment.entries, ...deployment.controls]
  const bench: Run = { deployment, daemons, draw, submitted: [], nextNumber: () => ++number }
  await waitForMembers(bench)
  const idleCalls = await countIdle(bench)
  const healthy = await runHealthy(bench)
  const phases = {
    competing: await timed(bench, () => runCompeting(bench)),
    lostAnswers: await timed(bench, () => runLost(bench)),
    lateWrites: await timed(bench, () => runLate(bench)),
    silentWatches: await timed(bench, () => runSilent(bench)),
    restoredStore: await timed(bench, () => runRestored(bench))
  }
  await waitForSpread(bench)
  const events = await Promise.all(daemons.map(readEvents))
  const listed = await deployment.operate(daemons[0]!, '/v1/tickets')
  const misreported = findMisreported(bench.submitted, listed.body.tickets, events.flat())
  for (const report of misreported) console.error(JSON.stringify(report))
  return {
    daemons: daemons.length,
    inForceMs: summarise(healthy.inForceMs),
    reverted: events.map(countReverted).reduce((sum, count) => sum + count, 0),
    misreported: misreported.length,
    undecided: bench.submitted.filter(({ status }) => status === 503).length,
    storeCallsPerTicket: Number(((healthy.calls - idleCalls * healthy.elapsedMs) / HEALTHY_TICKETS).toFixed(1)),
    phases,
    tickets: bench.submitted.length
  }
}

async function faults (bench: Run, route: string, change?: Record<string, unknown>): Promise<{ calls: number, held: number }> {
  const answer = await fetch(`${bench.deployment.objectApiUrl}/faults${route}`, {
    method: 'POST', ...(change === undefined ? {} : { body: JSON.stringify(change) })
  })
  return await answer.json() as { calls: number, held: number }
}

const pause = async (delayMs: number): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, delayMs) }) }

async function waitForMembers (bench: Run): Promise<void> {
  for (;;) {
    const answers = await Promise.all(bench.daemons.map(daemon => bench.deployment.operate(daemon, '/v1/members')))
    if (answers.every(({ body }) => body.members.length === bench.daemons.length)) return
    await pause(100)
  }
}

/** Calls a millisecond while nothing is submitted. */
async function countIdle (bench: Run): Promise<number> {
  const before = await faults(bench, '/count')
  await pause(IDLE_MS)
  return ((await faults(bench, '/count')).calls - before.calls) / IDLE_MS
}

/** Submits at a drawn daemon, again elsewhere while the outcome is unknown, and keeps every report. */
async function submit (bench: Run, ticket: Submitted['ticket']): Promise<Submitted> {
  const giveUpMs = Date.now() + DECISION_LIMIT_MS
  for (;;) {
    const daemon = bench.daemons[bench.draw(bench.daemons.length)]!
    const { status, body } = await bench.deployment.operate(daemon, '/v1/tickets', ticket)
    const report: Submitted = { ticket, status, body }
    if (status !== 503 || Date.now() > giveUpMs) {
      bench.submitted.push(report)
      return report
    }
    await pause(100)
  }
}

const connect = (number: number, connectMs: number): Submitted['ticket'] => ({ number, scopes: { timeouts: { connectMs } } })

async function runHealthy (bench: Run): Promise<{ inForceMs: number[], calls: number, elapsedMs: number }> {
  const startedMs = Date.now()
  const before = await faults(bench, '/count')
  const sentMs: Array<{ sent: number, revision: number }> = []
  for (let index = 0; index < HEALTHY_TICKETS; index++) {
    const sent = Date.now()
    const { body } = await submit(bench, connect(bench.nextNumber(), 100 + index))
    sentMs.push({ sent, revision: body.revision })
    await waitForSpread(bench)
  }
  const { calls } = await faults(bench, '/count')
  const elapsedMs = Date.now() - startedMs
  const events = await Promise.all(bench.daemons.map(readEvents))
  const inForceMs = sentMs.map(({ sent, revision }) => Math.max(...events.map(list => firstAtLeast(list, revision))) - sent)
  return { inForceMs, calls: calls - before.calls, elapsedMs }
}

function firstAtLeast (events: Array<Record<string, any>>, revision: number): number {
  return events.find(event => event.name === 'revisionInForce' && event.revision >= revision)?.wallMs ?? Infinity
}

/** One number with three contents, then three numbers for one scope. */
async function runCompeting (bench: Run): Promise<void> {
  const operators = Array.from({ length: COMPETITORS }, (_, index) => index)
  for (let round = 0; round < COMPETING_ROUNDS; round++) {
    const number = bench.nextNumber()
    await Promise.all(operators.map(index => submit(bench, connect(number, 1_000 + index))))
    const numbers = operators.map(() => bench.nextNumber())
    await Promise.all(numbers.map(each => submit(bench, connect(each, 2_000 + each))))
  }
}

async function runLost (bench: Run): Promise<void> {
  for (let round = 0; round < LOST_ROUNDS; round++) {
    await faults(bench, '', { loseAnswers: 1 + bench.draw(4) })
    await Promise.all([submit(bench, connect(bench.nextNumber(), 3_000 + round)), submit(bench, connect(bench.nextNumber(), 4_000 + round))])
  }
  await faults(bench, '', { loseAnswers: 0 })
}

async function runLate (bench: Run): Promise<void> {
  for (let round = 0; round < LATE_ROUNDS; round++) {
    await faults(bench, '', { holdWrites: 1 + bench.draw(3) })
    const submissions = [submit(bench, connect(bench.nextNumber(), 5_000 + round)), submit(bench, connect(bench.nextNumber(), 6_000 + round))]
    await pause(LATE_MS)
    await faults(bench, '/apply-held')
    await Promise.all(submissions)
  }
  await faults(bench, '', { holdWrites: 0 })
  await faults(bench, '/apply-held')
}

async function runSilent (bench: Run): Promise<void> {
  await faults(bench, '', { silentWatches: true })
  for (let round = 0; round < SILENT_ROUNDS; round++) {
    await submit(bench, connect(bench.nextNumber(), 7_000 + round))
    await waitForSpread(bench)
  }
  await faults(bench, '', { silentWatches: false })
}

/** Takes the store back by some tickets and goes on. */
async function runRestored (bench: Run): Promise<void> {
  await faults(bench, '/snapshot')
  for (let index = 0; index < RESTORED_TICKETS; index++) await submit(bench, connect(bench.nextNumber(), 8_000 + index))
  await waitForSpread(bench)
  await faults(bench, '/restore')
  for (let index = 0; index < RESTORED_TICKETS; index++) await submit(bench, connect(bench.nextNumber(), 9_000 + index))
}

/** Waits until every daemon has the highest revision that was reported. */
async function waitForSpread (bench: Run): Promise<void> {
  const wanted = Math.max(0, ...bench.submitted.map(({ body }) => body.revision ?? 0))
  const giveUpMs = Date.now() + SPREAD_LIMIT_MS
  while (Date.now() < giveUpMs) {
    const answers = await Promise.all(bench.daemons.map(daemon => bench.deployment.operate(daemon, '/v1/in-force/timeouts')))
    if (answers.every(({ body }) => body.revision >= wanted)) return
    await pause(20)
  }
}

/** Runs a phase and waits until it is in force everywhere. */
async function timed (bench: Run, phase: () => Promise<void>): Promise<{ tickets: number, elapsedMs: number, spreadMs: number }> {
  const startedMs = Date.now()
  const before = bench.submitted.length
  await phase()
  const decidedMs = Date.now()
  await waitForSpread(bench)
  return { tickets: bench.submitted.length - before, elapsedMs: decidedMs - startedMs, spreadMs: Date.now() - decidedMs }
}

/** Steps down of the revision, and of the ticket in force, in one daemon's log. */
function countReverted (events: Array<Record<string, any>>): number {
  const changes = events.filter(event => event.name === 'revisionInForce')
  return changes.filter((event, index) => {
    const before = changes[index - 1]
    return before !== undefined && (event.revision <= before.revision || event.ticket < before.ticket)
  }).length
}

function summarise (valuesMs: number[]): { p50: number, p99: number, max: number } {
  const histogram = build({ highestTrackableValue: 3_600_000, numberOfSignificantValueDigits: 3 })
  for (const value of valuesMs) histogram.recordValue(Math.min(value, 3_600_000))
  return { p50: histogram.getValueAtPercentile(50), p99: histogram.getValueAtPercentile(99), max: histogram.maxValue }
}
