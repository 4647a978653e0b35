/**
 * Random interleavings of the store calls of competing submissions, with lost answers, writes that
 * take effect late, outages, and submitters that stop between two calls. Every outcome that was
 * reported must match what the stored heads show as accepted.
 */
import fc from 'fast-check'
import test from 'ava'
import type { ObjectStore } from '../src/objectApi/types.js'
import { HEAD_KEY, ticketKey } from '../src/ticket/constants.js'
import { digestTicket } from '../src/ticket/digestTicket/index.js'
import { submitTicket } from '../src/ticket/submitTicket/index.js'
import type { Head, Ticket, TicketOutcome, TicketRecord } from '../src/ticket/types.js'
import { createMemoryObjectStore } from '../standin/objectApi/createMemoryObjectStore/index.js'
import { createImmediateRuntime } from './fakes/createImmediateRuntime.js'
import { createTestLog } from './fakes/createTestLog.js'

const SEED = Number(process.env.SEED ?? 1)
const RUNS = Number(process.env.RUNS ?? 1_000)

/** Includes different tickets with the same number, several tickets for one scope, removals and a base revision. */
const TICKETS: Ticket[] = [
  { number: 1, scopes: { timeouts: { connectMs: 1 } } },
  { number: 1, scopes: { timeouts: { connectMs: 2 } } },
  { number: 2, scopes: { timeouts: { connectMs: 3 }, 'targets/a': { targets: [] } } },
  { number: 3, scopes: { timeouts: null } },
  { number: 3, scopes: { 'targets/a': { targets: [] } } },
  { number: 4, scopes: { 'targets/a': null } },
  { number: 5, baseRevision: 0, scopes: { timeouts: { connectMs: 4 } } }
]

interface OutcomeReport { ticket: Ticket, outcome: TicketOutcome, operator: string }

function createSimulation () {
  const store = createMemoryObjectStore()
  const queue: Array<() => Promise<void>> = []
  const reports: OutcomeReport[] = []
  const heads: Head[] = []
  let started = 0
  const settle = (): Promise<void> => new Promise(resolve => { setImmediate(resolve) })
  const stored = <T>(key: string): T | undefined => store.snapshot().find(object => object.key === key)?.value as T | undefined

  /** A store whose calls wait in the queue; once `callsLeft` of them have run, the submitter stops. */
  function createQueuedStore (callsLeft: number): ObjectStore {
    const enqueue = <A extends unknown[], R>(operation: (...args: A) => Promise<R>) => (...args: A): Promise<R> => new Promise((resolve, reject) => {
      queue.push(async () => callsLeft-- > 0 ? resolve(await operation(...args)) : reject(new Error('submitter stopped')))
    })
    return { ...store, read: enqueue(store.read), write: enqueue(store.write) }
  }

  /** Adds the stored head to the history if it has changed, and checks its revision. */
  function recordHead (): void {
    const head = stored<Head>(HEAD_KEY)
    const lastHead = heads.at(-1)
    if (head === undefined || head.nonce + head.revision === (lastHead?.nonce ?? '') + (lastHead?.revision ?? 0)) return
    if (head.revision < (lastHead?.revision ?? 0)) throw new Error('the revision decreased')
    if (head.revision > (lastHead?.revision ?? 0) + 1) throw new Error('a revision was skipped')
    heads.push(head)
  }

  return {
    store,
    reports,
    heads,
    stored,
    start (ticket: Ticket, callsLeft: number) {
      const options = { store: createQueuedStore(callsLeft), runtime: createImmediateRuntime(), log: createTestLog(), operator: `operator-${started++}` }
      submitTicket(ticket, options).then(outcome => reports.push({ ticket, outcome, operator: options.operator }), () => {})
    },
    async step (choice: number) {
      const [call] = queue.splice(choice % Math.max(queue.length, 1), 1)
      await call?.()
      await settle()
      recordHead()
    },
    async applyHeld () {
      store.applyHeld(1)
      recordHead()
    },
    waiting: () => queue.length,
    settle
  }
}

/** The revision at which the recorded heads show that this ticket was accepted. */
function findAcceptedRevision (ticket: Ticket, simulation: ReturnType<typeof createSimulation>): number | undefined {
  const record = simulation.stored<TicketRecord>(ticketKey(ticket.number))
  if (record?.digest !== digestTicket(ticket)) return undefined
  return simulation.heads.find(head => head.ticket === ticket.number)?.revision
}

/** Runs the submissions in the order that `choices` gives, then without faults to the end, then all of them once more. */
async function runSubmissions (submissions: Array<{ ticket: number, callsLeft: number }>, choices: number[]): Promise<void> {
  const simulation = createSimulation()
  const { faults } = simulation.store
  const pendingStarts = submissions.map(({ ticket, callsLeft }) => () => simulation.start(TICKETS[ticket]!, callsLeft))
  for (const choice of choices) {
    const action = choice % 12
    if (action === 0) pendingStarts.shift()?.()
    else if (action === 1) faults.loseAnswers = 1
    else if (action === 2) faults.holdWrites = 1
    else if (action === 3) await simulation.applyHeld()
    else if (action === 4) faults.down = !faults.down
    else await simulation.step(choice)
  }
  Object.assign(faults, { down: false, loseAnswers: 0, holdWrites: 0 })
  for (const start of pendingStarts) start()
  await simulation.settle()
  while (simulation.waiting() > 0) await simulation.step(0)
  while (simulation.store.heldWrites() > 0) await simulation.applyHeld()
  const firstFinalIndex = simulation.reports.length
  for (const { ticket } of submissions) {
    simulation.start(TICKETS[ticket]!, Infinity)
    await simulation.settle()
    while (simulation.waiting() > 0) await simulation.step(0)
  }
  simulation.reports.forEach((report, index) => checkReport(report, simulation, index >= firstFinalIndex))
}

/** Throws if a reported outcome contradicts the stored state; a final report, made without faults, must not be uncertain. */
function checkReport ({ ticket, outcome, operator }: OutcomeReport, simulation: ReturnType<typeof createSimulation>, isFinal: boolean): void {
  const acceptedRevision = findAcceptedRevision(ticket, simulation)
  const message = `ticket ${JSON.stringify(ticket)} was reported ${JSON.stringify(outcome)}, accepted at ${acceptedRevision}`
  if (outcome.kind === 'accepted' && outcome.revision !== acceptedRevision) throw new Error(message)
  if (outcome.kind === 'refused' && outcome.reason !== 'storeUnavailable' && acceptedRevision !== undefined) throw new Error(message)
  const wroteRecord = simulation.stored<TicketRecord>(ticketKey(ticket.number))?.submittedBy === operator
  if (outcome.kind === 'refused' && outcome.reason === 'storeUnavailable' && wroteRecord) throw new Error(message)
  if (isFinal && outcome.kind === 'uncertain') throw new Error(message)
  if (outcome.kind === 'refused' && outcome.reason === 'ticketNumberTaken' &&
    outcome.facts.digest !== simulation.stored<TicketRecord>(ticketKey(ticket.number))?.digest) throw new Error(message)
}

test('reported outcomes match what was accepted under random interleavings and faults', async t => {
  const submission = fc.record({ ticket: fc.nat(TICKETS.length - 1), callsLeft: fc.oneof(fc.constant(Infinity), fc.nat(8)) })
  const property = fc.asyncProperty(
    fc.array(submission, { minLength: 2, maxLength: 7 }),
    fc.array(fc.nat(1_000), { maxLength: 150 }),
    runSubmissions
  )
  await t.notThrowsAsync(fc.assert(property, { seed: SEED, numRuns: RUNS }))
})
