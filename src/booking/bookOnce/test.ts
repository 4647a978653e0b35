import test from 'ava'
import fc from 'fast-check'
import { createMemoryObjectStore } from '../../../standin/objectApi/createMemoryObjectStore/index.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createOrderLedger, ORDER_ANSWER, type SendFate } from '../../../test/fakes/createOrderLedger.js'
import { createScriptedStore, PAUSE_MS, type WriteFate } from '../../../test/fakes/createScriptedStore.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import type { BookingResult, BookOnceOptions } from '../types.js'
import { bookOnce } from './index.js'

/** Longer than any call takes, with all waits and retries. */
const LONG_MS = 200_000

/** One call with the key `k`, and what becomes of its writes to the store and of its send. */
interface TestCall {
  writes?: WriteFate[]
  send?: SendFate
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
  let callCount = 0
  /** Starts a call at another entry; `result` is set once it has one. */
  function startCall ({ writes = [], send = 'answered', body = 'vinyl', account = 'shop', isFirstAttempt = false, options = {} }: TestCall = {}) {
    const id = `call-${callCount++}`
    const started: { id: string, effectsBefore: number, result?: BookingResult } = { id, effectsBefore: ledger.effects.length }
    const serviceCall = { method: 'POST', path: '/orders', headers: {}, body: Buffer.from(body) }
    bookOnce({ request: id, account, service: 'orders', key: 'k', call: serviceCall, isFirstAttempt }, {
      store: createScriptedStore(store, writes, runtime),
      log,
      runtime,
      timeoutMs: 1_000,
      send: async permit => permit.isOpen() ? await ledger.send(id, send) : { kind: 'unreachable', cause: 'late' },
      keep: () => {},
      ...options
    }).then(result => { started.result = result })
    return started
  }
  /** Starts a call and returns its result after all waits and retries are over. */
  async function finishCall (call: TestCall = {}) {
    const started = startCall(call)
    await runtime.advance(LONG_MS)
    return started.result
  }
  return { runtime, store, ledger, startCall, finishCall }
}

const verdictOf = (result: BookingResult | undefined) => result?.kind === 'refused' ? result.refusal.verdict.kind : result?.kind
const reasonOf = (result: BookingResult | undefined) => result?.kind === 'refused' ? result.refusal.reason : result?.kind

test('a repetition at another entry gets the same answer and sends nothing', async t => {
  const { finishCall, ledger } = setUp()
  t.like(await finishCall(), { kind: 'answered', replayed: false, ...ORDER_ANSWER })
  t.like(await finishCall(), { kind: 'answered', replayed: true, ...ORDER_ANSWER })
  t.is(ledger.effects.length, 1)
})

test('two calls at the same time send once and get the same answer', async t => {
  const { startCall, runtime, ledger } = setUp()
  const both = [startCall(), startCall()]
  await runtime.advance(LONG_MS)
  t.deepEqual(both.map(({ result }) => result?.kind), ['answered', 'answered'])
  t.is(ledger.effects.length, 1)
})

test('another body with the same key is refused as not run', async t => {
  const { finishCall } = setUp()
  await finishCall()
  const other = await finishCall({ body: 'thread' })
  t.deepEqual([reasonOf(other), verdictOf(other)], ['bookingMismatch', 'notRun'])
})

test('the same key of two accounts is two bookings', async t => {
  const { finishCall, ledger } = setUp()
  await finishCall()
  t.like(await finishCall({ account: 'studio' }), { kind: 'answered', replayed: false })
  t.is(ledger.effects.length, 2)
})

test('a key whose send certainly did not run is sent again, by one of two calls', async t => {
  const { finishCall, startCall, runtime, ledger } = setUp()
  t.is(verdictOf(await finishCall({ send: 'unreachable' })), 'notRun')
  const both = [startCall(), startCall()]
  await runtime.advance(LONG_MS)
  t.deepEqual(both.map(({ result }) => result?.kind), ['answered', 'answered'])
  t.is(ledger.effects.length, 1)
})

for (const fate of ['loseAnswer', 'hold'] as const) {
  test(`an intent write answered as lost is settled before the send: ${fate}`, async t => {
    const { finishCall, store, ledger } = setUp()
    t.is((await finishCall({ writes: [fate] }))?.kind, 'answered')
    store.applyHeld()
    t.is((await finishCall())?.kind, 'answered')
    t.is(ledger.effects.length, 1)
  })
}

test('an intent that is stored after its caller was refused is never sent', async t => {
  const { finishCall, store, ledger } = setUp()
  const writes = Array.from({ length: 100 }, () => 'hold' as const)
  t.is(verdictOf(await finishCall({ writes, isFirstAttempt: true })), 'notRun')
  store.applyHeld()
  t.is(verdictOf(await finishCall()), 'mayHaveRun')
  t.is(ledger.effects.length, 0)
})

test('without a store nothing is sent, and only a first attempt is told that it did not run', async t => {
  const { startCall, store, ledger, runtime } = setUp()
  store.faults.down = true
  const [first, other] = [startCall({ isFirstAttempt: true }), startCall()]
  await runtime.settle()
  t.deepEqual([verdictOf(first.result), verdictOf(other.result)], ['notRun', 'mayHaveRun'])
  t.true(first.result?.kind === 'refused' && first.result.refusal.retryAfterMs! > 0)
  t.is(ledger.effects.length, 0)
})

test('a booking that ran gets no notRun verdict when its host dies and then the store goes down', async t => {
  const { startCall, finishCall, store, ledger, runtime } = setUp()
  startCall({ send: 'killedAfterEffect' })
  await runtime.settle()
  store.faults.down = true
  t.is(verdictOf(await finishCall()), 'mayHaveRun')
  t.is(ledger.effects.length, 1)
})

const killedHolders: Array<[string, TestCall, number]> = [
  ['before its intent', { writes: ['killedBefore'] }, 1],
  ['after its intent', { writes: ['killedAfter'] }, 0],
  ['before the effect', { send: 'killedBeforeEffect' }, 0],
  ['after the effect', { send: 'killedAfterEffect' }, 1],
  ['before its outcome', { writes: ['ok', 'killedBefore'] }, 1],
  ['after its outcome', { writes: ['ok', 'killedAfter'] }, 1]
]
for (const [step, first, effects] of killedHolders) {
  test(`a holder killed ${step} leaves at most one effect and a true verdict`, async t => {
    const { finishCall, ledger } = setUp()
    await finishCall(first)
    const answered = ['before its intent', 'after its outcome'].includes(step)
    t.is(verdictOf(await finishCall()), answered ? 'answered' : 'mayHaveRun')
    t.is(ledger.effects.length, effects)
  })
  test(`a status read settles the outcome of a holder killed ${step}`, async t => {
    const { finishCall, ledger } = setUp()
    await finishCall(first)
    const options = { readStatus: ledger.readStatus, statusSettlesAfterMs: 500 }
    const results = [await finishCall({ options }), await finishCall()]
    t.deepEqual(results.map(verdictOf), effects === 1 ? ['answered', 'answered'] : ['notRun', 'notRun'])
    t.is(ledger.effects.length, effects)
  })
}

test('no outcome is inferred while the holder may still send', async t => {
  const { startCall, runtime, ledger } = setUp()
  startCall({ writes: ['killedAfter'] })
  const second = startCall({ options: { readStatus: ledger.readStatus, statusSettlesAfterMs: 1 } })
  await runtime.advance(2_900)
  t.is(second.result, undefined)
  await runtime.advance(LONG_MS)
  t.is(verdictOf(second.result), 'notRun')
})

test('a holder that resumes after its time sends nothing, and the key is free again', async t => {
  const { startCall, runtime, ledger, finishCall } = setUp()
  const holder = startCall({ writes: ['paused'] })
  const second = startCall()
  await runtime.advance(PAUSE_MS + LONG_MS)
  t.deepEqual([verdictOf(holder.result), verdictOf(second.result)], ['notRun', 'mayHaveRun'])
  t.is(ledger.effects.length, 0)
  t.is((await finishCall())?.kind, 'answered')
})

test('a service that answers after the deadline leaves a doubt that its status read removes', async t => {
  const { finishCall, ledger } = setUp()
  t.is(verdictOf(await finishCall({ send: 'lostAfterEffect' })), 'mayHaveRun')
  t.like(await finishCall({ options: { readStatus: ledger.readStatus } }), { kind: 'answered', replayed: true })
  t.is(ledger.effects.length, 1)
})

test('an outcome that could not be recorded is recorded once the store is back', async t => {
  const { startCall, finishCall, runtime, ledger } = setUp()
  const first = startCall({ writes: ['ok', 'down', 'down', 'loseAnswer'] })
  await runtime.settle()
  t.is(first.result?.kind, 'answered')
  t.like(await finishCall(), { kind: 'answered', replayed: true })
  t.is(ledger.effects.length, 1)
})

test('a caller that goes away before the send leaves the key free', async t => {
  const { finishCall, ledger } = setUp()
  await finishCall({ options: { signal: AbortSignal.abort() } })
  t.is(ledger.effects.length, 0)
  t.is((await finishCall())?.kind, 'answered')
})

test('an answer too large to record is returned once, and then only its verdict', async t => {
  const { finishCall } = setUp()
  const body = Buffer.alloc(600_000, 'a')
  const options = { send: async () => ({ kind: 'answered' as const, ...ORDER_ANSWER, body }) }
  t.is((await finishCall({ options }))?.kind, 'answered')
  t.is(verdictOf(await finishCall()), 'ran')
})

test('an error status of the service proves notRun only if configured', async t => {
  const busy = { send: async () => ({ kind: 'answered' as const, ...ORDER_ANSWER, status: 503 }) }
  t.is(verdictOf(await setUp().finishCall({ options: busy })), 'answered')
  t.is(verdictOf(await setUp().finishCall({ options: { ...busy, notRunStatuses: [503] } })), 'notRun')
})

test('any interleaving of faults leaves at most one effect and no false verdict', async t => {
  const write = fc.constantFrom<WriteFate>('ok', 'ok', 'loseAnswer', 'hold', 'down', 'paused', 'killedBefore', 'killedAfter')
  const send = fc.constantFrom<SendFate>('answered', 'unreachable', 'lostAfterEffect', 'lostBeforeEffect', 'killedAfterEffect', 'killedBeforeEffect')
  const call = fc.record({ kind: fc.constant('call' as const), writes: fc.array(write, { maxLength: 6 }), send, hasStatus: fc.boolean() })
  const advance = fc.record({ kind: fc.constant('advance' as const), byMs: fc.constantFrom(0, 50, 1_000, 5_000, 100_000) })
  const applyHeld = fc.record({ kind: fc.constant('applyHeld' as const) })
  const steps = fc.array(fc.oneof({ weight: 3, arbitrary: call }, { weight: 2, arbitrary: advance }, applyHeld), { minLength: 2, maxLength: 10 })
  await fc.assert(fc.asyncProperty(steps, async drawn => {
    const { startCall, runtime, store, ledger } = setUp()
    const calls: Array<ReturnType<typeof startCall>> = []
    for (const step of drawn) {
      if (step.kind === 'advance') await runtime.advance(step.byMs)
      else if (step.kind === 'applyHeld') store.applyHeld()
      else calls.push(startCall({ ...step, options: step.hasStatus ? { readStatus: ledger.readStatus, statusSettlesAfterMs: 500 } : {} }))
    }
    store.applyHeld()
    await runtime.advance(LONG_MS)
    const falseNotRun = calls.filter(({ id, effectsBefore, result }) =>
      verdictOf(result) === 'notRun' && (effectsBefore > 0 || ledger.effects.includes(id)))
    const bodies = new Set(calls.flatMap(({ result }) => result?.kind === 'answered' ? [result.body.toString()] : []))
    return ledger.effects.length <= 1 && falseNotRun.length === 0 && bodies.size <= 1
  }), { seed: 20_261_203, numRuns: 400 })
  t.pass()
})
