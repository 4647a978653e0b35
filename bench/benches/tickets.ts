/**
 * Time until a ticket is in force on every daemon, and whether any revision is reverted or outcome
 * misreported: with a healthy store, competing operators, lost answers, late writes, silent watches
 * and a store restored to an older state.
 */
import { build } from 'hdr-histogram-js'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { readEvents, startDeployment, type Deployment, type StartedProcess } from '../startDeployment/index.js'
import { findMisreported, type SubmissionReport } from '../_lib/findMisreported.js'

const ENTRIES = 7
const CONTROLS = 2

/** Number of tickets or rounds of each phase. */
const HEALTHY_TICKETS = 60
const COMPETING_ROUNDS = 20
const LOST_ROUNDS = 15
const LATE_ROUNDS = 8
const SILENT_ROUNDS = 3
const RESTORED_TICKETS = 4

/** Concurrent submissions in a competing round. */
const COMPETITORS = 3

/** Delay of a held write, and time after which an unknown outcome is no longer retried. */
const LATE_WRITE_DELAY_MS = 400
const DECISION_TIMEOUT_MS = 30_000

/** Duration of the count of store calls without submissions. */
const IDLE_MS = 5_000

/** Longest wait until every daemon has the last revision. */
const IN_FORCE_TIMEOUT_MS = 20_000

type RandomBelow = (below: number) => number

interface BenchRun {
  deployment: Deployment
  daemons: StartedProcess[]
  randomBelow: RandomBelow
  submitted: SubmissionReport[]
  nextNumber: () => number
}

export async function run ({ seed }: { seed: number }): Promise<Record<string, unknown>> {
  await using deployment = await startDeployment({ entries: ENTRIES, controls: CONTROLS, plan: {} })
  const generator = xoroshiro128plus(seed)
  const randomBelow: RandomBelow = below => (generator.next() >>> 0) % below
  let number = 0
  const daemons = [...deployment.entries, ...deployment.controls]
  const bench: BenchRun = { deployment, daemons, randomBelow, submitted: [], nextNumber: () => ++number }
  await waitForMembers(bench)
  const idleCallsPerMs = await measureIdleCallsPerMs(bench)
  const healthy = await runHealthy(bench)
  const phases = {
    competing: await timePhase(bench, () => runCompeting(bench)),
    lostAnswers: await timePhase(bench, () => runLostAnswers(bench)),
    lateWrites: await timePhase(bench, () => runLateWrites(bench)),
    silentWatches: await timePhase(bench, () => runSilentWatches(bench)),
    restoredStore: await timePhase(bench, () => runRestoredStore(bench))
  }
  await waitUntilInForce(bench)
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
    storeCallsPerTicket: Number(((healthy.calls - idleCallsPerMs * healthy.elapsedMs) / HEALTHY_TICKETS).toFixed(1)),
    phases,
    tickets: bench.submitted.length
  }
}

async function callStoreFaults (bench: BenchRun, route: string, change?: Record<string, unknown>): Promise<{ calls: number, held: number }> {
  const answer = await fetch(`${bench.deployment.objectApiUrl}/faults${route}`, {
    method: 'POST', ...(change === undefined ? {} : { body: JSON.stringify(change) })
  })
  return await answer.json() as { calls: number, held: number }
}

const pause = async (delayMs: number): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, delayMs) }) }

async function waitForMembers (bench: BenchRun): Promise<void> {
  for (;;) {
    const answers = await Promise.all(bench.daemons.map(daemon => bench.deployment.operate(daemon, '/v1/members')))
    if (answers.every(({ body }) => body.members.length === bench.daemons.length)) return
    await pause(100)
  }
}

/** Measures the store calls per millisecond without submissions. */
async function measureIdleCallsPerMs (bench: BenchRun): Promise<number> {
  const before = await callStoreFaults(bench, '/count')
  await pause(IDLE_MS)
  return ((await callStoreFaults(bench, '/count')).calls - before.calls) / IDLE_MS
}

/** Submits a ticket to a random daemon, retries at random daemons while the outcome is unknown, and records the last answer. */
async function submit (bench: BenchRun, ticket: SubmissionReport['ticket']): Promise<SubmissionReport> {
  const giveUpMs = Date.now() + DECISION_TIMEOUT_MS
  for (;;) {
    const daemon = bench.daemons[bench.randomBelow(bench.daemons.length)]!
    const { status, body } = await bench.deployment.operate(daemon, '/v1/tickets', ticket)
    const report: SubmissionReport = { ticket, status, body }
    if (status !== 503 || Date.now() > giveUpMs) {
      bench.submitted.push(report)
      return report
    }
    await pause(100)
  }
}

const createTicket = (number: number, connectMs: number): SubmissionReport['ticket'] => ({ number, scopes: { timeouts: { connectMs } } })

async function runHealthy (bench: BenchRun): Promise<{ inForceMs: number[], calls: number, elapsedMs: number }> {
  const startedMs = Date.now()
  const before = await callStoreFaults(bench, '/count')
  const submissions: Array<{ sent: number, revision: number }> = []
  for (let index = 0; index < HEALTHY_TICKETS; index++) {
    const sent = Date.now()
    const { body } = await submit(bench, createTicket(bench.nextNumber(), 100 + index))
    submissions.push({ sent, revision: body.revision })
    await waitUntilInForce(bench)
  }
  const { calls } = await callStoreFaults(bench, '/count')
  const elapsedMs = Date.now() - startedMs
  const events = await Promise.all(bench.daemons.map(readEvents))
  const inForceMs = submissions.map(({ sent, revision }) => Math.max(...events.map(list => firstInForceMs(list, revision))) - sent)
  return { inForceMs, calls: calls - before.calls, elapsedMs }
}

function firstInForceMs (events: Array<Record<string, any>>, revision: number): number {
  return events.find(event => event.name === 'revisionInForce' && event.revision >= revision)?.wallMs ?? Infinity
}

/** Submits three contents under one ticket number at once, then three tickets for one scope at once. */
async function runCompeting (bench: BenchRun): Promise<void> {
  const operators = Array.from({ length: COMPETITORS }, (_, index) => index)
  for (let round = 0; round < COMPETING_ROUNDS; round++) {
    const number = bench.nextNumber()
    await Promise.all(operators.map(index => submit(bench, createTicket(number, 1_000 + index))))
    const numbers = operators.map(() => bench.nextNumber())
    await Promise.all(numbers.map(each => submit(bench, createTicket(each, 2_000 + each))))
  }
}

async function runLostAnswers (bench: BenchRun): Promise<void> {
  for (let round = 0; round < LOST_ROUNDS; round++) {
    await callStoreFaults(bench, '', { loseAnswers: 1 + bench.randomBelow(4) })
    await Promise.all([submit(bench, createTicket(bench.nextNumber(), 3_000 + round)), submit(bench, createTicket(bench.nextNumber(), 4_000 + round))])
  }
  await callStoreFaults(bench, '', { loseAnswers: 0 })
}

async function runLateWrites (bench: BenchRun): Promise<void> {
  for (let round = 0; round < LATE_ROUNDS; round++) {
    await callStoreFaults(bench, '', { holdWrites: 1 + bench.randomBelow(3) })
    const submissions = [submit(bench, createTicket(bench.nextNumber(), 5_000 + round)), submit(bench, createTicket(bench.nextNumber(), 6_000 + round))]
    await pause(LATE_WRITE_DELAY_MS)
    await callStoreFaults(bench, '/apply-held')
    await Promise.all(submissions)
  }
  await callStoreFaults(bench, '', { holdWrites: 0 })
  await callStoreFaults(bench, '/apply-held')
}

async function runSilentWatches (bench: BenchRun): Promise<void> {
  await callStoreFaults(bench, '', { silentWatches: true })
  for (let round = 0; round < SILENT_ROUNDS; round++) {
    await submit(bench, createTicket(bench.nextNumber(), 7_000 + round))
    await waitUntilInForce(bench)
  }
  await callStoreFaults(bench, '', { silentWatches: false })
}

/** Restores the store to a state before some tickets and submits more. */
async function runRestoredStore (bench: BenchRun): Promise<void> {
  await callStoreFaults(bench, '/snapshot')
  for (let index = 0; index < RESTORED_TICKETS; index++) await submit(bench, createTicket(bench.nextNumber(), 8_000 + index))
  await waitUntilInForce(bench)
  await callStoreFaults(bench, '/restore')
  for (let index = 0; index < RESTORED_TICKETS; index++) await submit(bench, createTicket(bench.nextNumber(), 9_000 + index))
}

/** Waits until every daemon has the highest reported revision in force, or the timeout has passed. */
async function waitUntilInForce (bench: BenchRun): Promise<void> {
  const wanted = Math.max(0, ...bench.submitted.map(({ body }) => body.revision ?? 0))
  const giveUpMs = Date.now() + IN_FORCE_TIMEOUT_MS
  while (Date.now() < giveUpMs) {
    const answers = await Promise.all(bench.daemons.map(daemon => bench.deployment.operate(daemon, '/v1/in-force/timeouts')))
    if (answers.every(({ body }) => body.revision >= wanted)) return
    await pause(20)
  }
}

/** Times a phase and the wait until its tickets are in force on every daemon. */
async function timePhase (bench: BenchRun, phase: () => Promise<void>): Promise<{ tickets: number, elapsedMs: number, spreadMs: number }> {
  const startedMs = Date.now()
  const before = bench.submitted.length
  await phase()
  const decidedMs = Date.now()
  await waitUntilInForce(bench)
  return { tickets: bench.submitted.length - before, elapsedMs: decidedMs - startedMs, spreadMs: Date.now() - decidedMs }
}

/** Counts the changes in one daemon's log that do not raise the revision or that lower the ticket number. */
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
