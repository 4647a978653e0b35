import test from 'ava'
import fc from 'fast-check'
import { createMemoryObjectStore } from '../../../standin/objectApi/createMemoryObjectStore/index.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createOrderLedger, ORDER_ANSWER, type SendOutcome } from '../../../test/fakes/createOrderLedger.js'
import { createScriptedStore, PAUSE_MS, type WriteOutcome } from '../../../test/fakes/createScriptedStore.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import type { BookingResult, BookOnceOptions } from '../types.js'
import { bookOnce } from './index.js'

/** Longer than any wait of an arrival. */
const LONG_MS = 200_000

interface Arrival {
  writes?: WriteOutcome[]
  send?: SendOutcome
  body?: string
  account?: string
  isFirstAttempt?: boolean
  options?: Partial<BookOnceOptions>
}

function setUp () {
  const runtime = createManualRuntime()
  const store = createMemoryObjectStore()
  const ledger = createOrderLedger()
  const log = createTestLog()
  let arrivals = 0
  /** Starts an arrival at an entry of its own; `result` is set once it is answered. */
  function arrive ({ writes = [], send = 'answered', body = 'vinyl', account = 'shop', isFirstAttempt = false, options = {} }: Arrival = {}) {
    const id = `arrival-${arrivals++}`
    const arrival: { id: string, effectsBefore: number, result?: BookingResult } = { id, effectsBefore: ledger.effects.length }
    const call = { method: 'POST', path: '/orders', headers: {}, body: Buffer.from(body) }
    bookOnce({ request: id, account, service: 'orders', key: 'k', call, isFirstAttempt }, {
      store: createScriptedStore(store, writes, runtime),
      log,
      runtime,
      timeoutMs: 1_000,
      send: async permit => permit.isOpen() ? await ledger.send(id, send) : { kind: 'unreachable', cause: 'late' },
      keep: () => {},
      ...options
    }).then(result => { arrival.result = result })
    return arrival
  }
  async function settle (arrival: Arrival = {}) {
    const started = arrive(arrival)
    await runtime.advance(LONG_MS)
    return started.result
  }
  return { runtime, store, ledger, arrive, settle }
}

const verdictOf = (result: BookingResult | undefined) => result?.kind === 'refused' ? result.refusal.verdict.kind : result?.kind
const reasonOf = (result: BookingResult | undefined) => result?.kind === 'refused' ? result.refusal.reason : result?.kind

test('a repetition at another entry gets the same answer and sends nothing', async t => {
  const { settle, ledger } = setUp()
  t.like(await settle(), { kind: 'answered', replayed: false, ...ORDER_ANSWER })
  t.like(await settle(), { kind: 'answered', replayed: true, ...ORDER_ANSWER })
  t.is(ledger.effects.length, 1)
})

test('two arrivals at the same time send once and get the same answer', async t => {
  const { arrive, runtime, ledger } = setUp()
  const both = [arrive(), arrive()]
  await runtime.advance(LONG_MS)
  t.deepEqual(both.map(({ result }) => result?.kind), ['answered', 'answered'])
  t.is(ledger.effects.length, 1)
})

test('another body under the same key is refused as not run', async t => {
  const { settle } = setUp()
  await settle()
  const other = await settle({ body: 'thread' })
  t.deepEqual([reasonOf(other), verdictOf(other)], ['bookingMismatch', 'notRun'])
})

test('the same key of two accounts is two bookings', async t => {
  const { settle, ledger } = setUp()
  await settle()
  t.like(await settle({ account: 'studio' }), { kind: 'answered', replayed: false })
  t.is(ledger.effects.length, 2)
})

test('a key whose send certainly did not run is sent again, by one of two arrivals', async t => {
  const { settle, arrive, runtime, ledger } = setUp()
  t.is(verdictOf(await settle({ send: 'unreachable' })), 'notRun')
  const both = [arrive(), arrive()]
  await runtime.advance(LONG_MS)
  t.deepEqual(both.map(({ result }) => result?.kind), ['answered', 'answered'])
  t.is(ledger.effects.length, 1)
})

for (const fate of ['loseAnswer', 'hold'] as const) {
  test(`an intent write answered as lost is settled before the send: ${fate}`, async t => {
    const { settle, store, ledger } = setUp()
    t.is((await settle({ writes: [fate] }))?.kind, 'answered')
    store.applyHeld()
    t.is((await settle())?.kind, 'answered')
    t.is(ledger.effects.length, 1)
  })
}

test('an intent that lands after its caller was refused is not sent by anybody', async t => {
  const { settle, store, ledger } = setUp()
  const writes = Array.from({ length: 100 }, () => 'hold' as const)
  t.is(verdictOf(await settle({ writes, isFirstAttempt: true })), 'notRun')
  store.applyHeld()
  t.is(verdictOf(await settle()), 'mayHaveRun')
  t.is(ledger.effects.length, 0)
})

test('without a store nothing is sent, and only a first attempt is told that it did not run', async t => {
  const { arrive, store, ledger, runtime } = setUp()
  store.faults.down = true
  const [first, other] = [arrive({ isFirstAttempt: true }), arrive()]
  await runtime.settle()
  t.deepEqual([verdictOf(first.result), verdictOf(other.result)], ['notRun', 'mayHaveRun'])
  t.true(first.result?.kind === 'refused' && first.result.refusal.retryAfterMs! > 0)
  t.is(ledger.effects.length, 0)
})

test('a booking that ran is not called not run when the store goes down after its host', async t => {
  const { arrive, settle, store, ledger, runtime } = setUp()
  arrive({ send: 'killedAfterEffect' })
  await runtime.settle()
  store.faults.down = true
  t.is(verdictOf(await settle()), 'mayHaveRun')
  t.is(ledger.effects.length, 1)
})

const killed: Array<[string, Arrival, number]> = [
  ['before its intent', { writes: ['killedBefore'] }, 1],
  ['after its intent', { writes: ['killedAfter'] }, 0],
  ['before the effect', { send: 'killedBeforeEffect' }, 0],
  ['after the effect', { send: 'killedAfterEffect' }, 1],
  ['before its outcome', { writes: ['ok', 'killedBefore'] }, 1],
  ['after its outcome', { writes: ['ok', 'killedAfter'] }, 1]
]
for (const [step, first, effects] of killed) {
  test(`a holder killed ${step} leaves at most one effect and a true verdict`, async t => {
    const { settle, ledger } = setUp()
    await settle(first)
    const answered = ['before its intent', 'after its outcome'].includes(step)
    t.is(verdictOf(await settle()), answered ? 'answered' : 'mayHaveRun')
    t.is(ledger.effects.length, effects)
  })
  test(`a status read settles what a holder killed ${step} left open`, async t => {
    const { settle, ledger } = setUp()
    await settle(first)
    const options = { readStatus: ledger.readStatus, statusSettlesAfterMs: 500 }
    const results = [await settle({ options }), await settle()]
    t.deepEqual(results.map(verdictOf), effects === 1 ? ['answered', 'answered'] : ['notRun', 'notRun'])
    t.is(ledger.effects.length, effects)
  })
}

test('a record within its holder\'s time is not judged', async t => {
  const { arrive, runtime, ledger } = setUp()
  arrive({ writes: ['killedAfter'] })
  const second = arrive({ options: { readStatus: ledger.readStatus, statusSettlesAfterMs: 1 } })
  await runtime.advance(2_900)
  t.is(second.result, undefined)
  await runtime.advance(LONG_MS)
  t.is(verdictOf(second.result), 'notRun')
})

test('a holder that resumes after its time sends nothing, and the key is free again', async t => {
  const { arrive, runtime, ledger, settle } = setUp()
  const holder = arrive({ writes: ['paused'] })
  const second = arrive()
  await runtime.advance(PAUSE_MS + LONG_MS)
  t.deepEqual([verdictOf(holder.result), verdictOf(second.result)], ['notRun', 'mayHaveRun'])
  t.is(ledger.effects.length, 0)
  t.is((await settle())?.kind, 'answered')
})

test('a service that answers after the deadline leaves a doubt that its status read removes', async t => {
  const { settle, ledger } = setUp()
  t.is(verdictOf(await settle({ send: 'lostAfterEffect' })), 'mayHaveRun')
  t.like(await settle({ options: { readStatus: ledger.readStatus } }), { kind: 'answered', replayed: true })
  t.is(ledger.effects.length, 1)
})

test('an outcome that could not be recorded is recorded once the store is back', async t => {
  const { arrive, settle, runtime, ledger } = setUp()
  const first = arrive({ writes: ['ok', 'down', 'down', 'loseAnswer'] })
  await runtime.settle()
  t.is(first.result?.kind, 'answered')
  t.like(await settle(), { kind: 'answered', replayed: true })
  t.is(ledger.effects.length, 1)
})

test('a caller that goes away before the send leaves the key free', async t => {
  const { settle, ledger } = setUp()
  await settle({ options: { signal: AbortSignal.abort() } })
  t.is(ledger.effects.length, 0)
  t.is((await settle())?.kind, 'answered')
})

test('an answer too large to keep is given once and then named as run', async t => {
  const { settle } = setUp()
  const body = Buffer.alloc(600_000, 'a')
  const options = { send: async () => ({ kind: 'answered' as const, ...ORDER_ANSWER, body }) }
  t.is((await settle({ options }))?.kind, 'answered')
  t.is(verdictOf(await settle()), 'ran')
})

test('a service\'s refusal is proof only where its status is configured', async t => {
  const busy = { send: async () => ({ kind: 'answered' as const, ...ORDER_ANSWER, status: 503 }) }
  t.is(verdictOf(await setUp().settle({ options: busy })), 'answered')
  t.is(verdictOf(await setUp().settle({ options: { ...busy, notRunStatuses: [503] } })), 'notRun')
})

test('any interleaving of faults leaves at most one effect and no false verdict', async t => {
  const write = fc.constantFrom<WriteOutcome>('ok', 'ok', 'loseAnswer', 'hold', 'down', 'paused', 'killedBefore', 'killedAfter')
  const send = fc.constantFrom<SendOutcome>('answered', 'unreachable', 'lostAfterEffect', 'lostBeforeEffect', 'killedAfterEffect', 'killedBeforeEffect')
  const arrival = fc.record({ kind: fc.constant('arrive' as const), writes: fc.array(write, { maxLength: 6 }), send, hasStatus: fc.boolean() })
  const pass = fc.record({ kind: fc.constant('pass' as const), byMs: fc.constantFrom(0, 50, 1_000, 5_000, 100_000) })
  const land = fc.record({ kind: fc.constant('land' as const) })
  const steps = fc.array(fc.oneof({ weight: 3, arbitrary: arrival }, { weight: 2, arbitrary: pass }, land), { minLength: 2, maxLength: 10 })
  await fc.assert(fc.asyncProperty(steps, async drawn => {
    const { arrive, runtime, store, ledger } = setUp()
    const arrivals: Array<ReturnType<typeof arrive>> = []
    for (const step of drawn) {
      if (step.kind === 'pass') await runtime.advance(step.byMs)
      else if (step.kind === 'land') store.applyHeld()
      else arrivals.push(arrive({ ...step, options: step.hasStatus ? { readStatus: ledger.readStatus, statusSettlesAfterMs: 500 } : {} }))
    }
    store.applyHeld()
    await runtime.advance(LONG_MS)
    const falseNotRun = arrivals.filter(({ id, effectsBefore, result }) =>
      verdictOf(result) === 'notRun' && (effectsBefore > 0 || ledger.effects.includes(id)))
    const bodies = new Set(arrivals.flatMap(({ result }) => result?.kind === 'answered' ? [result.body.toString()] : []))
    return ledger.effects.length <= 1 && falseNotRun.length === 0 && bodies.size <= 1
  }), { seed: 20_261_203, numRuns: 400 })
  t.pass()
})
