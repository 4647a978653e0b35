/**
 * Submissions of competing tickets under every order of their store calls, lost answers, writes
 * that take effect later, outages, and submitters that end between two calls.
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

/** Two contents for one number, several numbers for one scope, removals, a stated base. */
const TICKETS: Ticket[] = [
  { number: 1, scopes: { timeouts: { connectMs: 1 } } },
  { number: 1, scopes: { timeouts: { connectMs: 2 } } },
  { number: 2, scopes: { timeouts: { connectMs: 3 }, 'targets/a': { targets: [] } } },
  { number: 3, scopes: { timeouts: null } },
  { number: 3, scopes: { 'targets/a': { targets: [] } } },
  { number: 4, scopes: { 'targets/a': null } },
  { number: 5, baseRevision: 0, scopes: { timeouts: { connectMs: 4 } } }
]

interface Report { ticket: Ticket, outcome: TicketOutcome, operator: string }

function createWorld () {
  const store = createMemoryObjectStore()
  const queue: Array<() => Promise<void>> = []
  const reports: Report[] = []
  const heads: Head[] = []
  let started = 0
  const settle = (): Promise<void> => new Promise(resolve => { setImmediate(resolve) })
  const stored = <T>(key: string): T | undefined => store.snapshot().find(object => object.key === key)?.value as T | undefined

  /** A store whose calls wait for their turn, and whose user ends before call number `callsLeft`. */
  function queued (callsLeft: number): ObjectStore {
    const wait = <A extends unknown[], R>(call: (...given: A) => Promise<R>) => (...given: A): Promise<R> => new Promise((resolve, reject) => {
      queue.push(async () => callsLeft-- > 0 ? resolve(await call(...given)) : reject(new Error('submitter ended')))
    })
    return { ...store, read: wait(store.read), write: wait(store.write) }
  }

  function observe (): void {
    const head = stored<Head>(HEAD_KEY)
    const last = heads.at(-1)
    if (head === undefined || head.nonce + head.revision === (last?.nonce ?? '') + (last?.revision ?? 0)) return
    if (head.revision < (last?.revision ?? 0)) throw new Error('the revision fell')
    if (head.revision > (last?.revision ?? 0) + 1) throw new Error('a revision was passed over')
    heads.push(head)
  }

  return {
    store,
    reports,
    heads,
    stored,
    start (ticket: Ticket, callsLeft: number) {
      const options = { store: queued(callsLeft), runtime: createImmediateRuntime(), log: createTestLog(), operator: `operator-${started++}` }
      submitTicket(ticket, options).then(outcome => reports.push({ ticket, outcome, operator: options.operator }), () => {})
    },
    async step (choice: number) {
      const [call] = queue.splice(choice % Math.max(queue.length, 1), 1)
      await call?.()
      await settle()
      observe()
    },
    async applyHeld () {
      store.applyHeld(1)
      observe()
    },
    waiting: () => queue.length,
    settle
  }
}

/** The revision at which the history shows this very ticket accepted. */
function acceptedAt (ticket: Ticket, world: ReturnType<typeof createWorld>): number | undefined {
  const record = world.stored<TicketRecord>(ticketKey(ticket.number))
  if (record?.digest !== digestTicket(ticket)) return undefined
  return world.heads.find(head => head.ticket === ticket.number)?.revision
}

async function play (submissions: Array<{ ticket: number, callsLeft: number }>, choices: number[]): Promise<void> {
  const world = createWorld()
  const { faults } = world.store
  const later = submissions.map(({ ticket, callsLeft }) => () => world.start(TICKETS[ticket]!, callsLeft))
  for (const choice of choices) {
    const kind = choice % 12
    if (kind === 0) later.shift()?.()
    else if (kind === 1) faults.loseAnswers = 1
    else if (kind === 2) faults.holdWrites = 1
    else if (kind === 3) await world.applyHeld()
    else if (kind === 4) faults.down = !faults.down
    else await world.step(choice)
  }
  Object.assign(faults, { down: false, loseAnswers: 0, holdWrites: 0 })
  for (const start of later) start()
  await world.settle()
  while (world.waiting() > 0) await world.step(0)
  while (world.store.countHeldWrites() > 0) await world.applyHeld()
  const before = world.reports.length
  for (const { ticket } of submissions) {
    world.start(TICKETS[ticket]!, Infinity)
    await world.settle()
    while (world.waiting() > 0) await world.step(0)
  }
  world.reports.forEach((report, index) => judge(report, world, index >= before))
}

function judge ({ ticket, outcome, operator }: Report, world: ReturnType<typeof createWorld>, isSettled: boolean): void {
  const real = acceptedAt(ticket, world)
  const told = `ticket ${JSON.stringify(ticket)} was reported ${JSON.stringify(outcome)}, accepted at ${real}`
  if (outcome.kind === 'accepted' && outcome.revision !== real) throw new Error(told)
  if (outcome.kind === 'refused' && outcome.reason !== 'storeUnavailable' && real !== undefined) throw new Error(told)
  const wroteRecord = world.stored<TicketRecord>(ticketKey(ticket.number))?.submittedBy === operator
  if (outcome.kind === 'refused' && outcome.reason === 'storeUnavailable' && wroteRecord) throw new Error(told)
  if (isSettled && outcome.kind === 'uncertain') throw new Error(told)
  if (outcome.kind === 'refused' && outcome.reason === 'ticketNumberTaken' &&
    outcome.facts.digest !== world.stored<TicketRecord>(ticketKey(ticket.number))?.digest) throw new Error(told)
}

test('reports equal what was accepted under every interleaving and fault', async t => {
  const submission = fc.record({ ticket: fc.nat(TICKETS.length - 1), callsLeft: fc.oneof(fc.constant(Infinity), fc.nat(8)) })
  const property = fc.asyncProperty(
    fc.array(submission, { minLength: 2, maxLength: 7 }),
    fc.array(fc.nat(1_000), { maxLength: 150 }),
    play
  )
  await t.notThrowsAsync(fc.assert(property, { seed: SEED, numRuns: RUNS }))
})
