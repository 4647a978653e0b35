import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createDispatcher, type PlaceOutcome, type PlaceRequest } from './index.js'

function setUp () {
  const runtime = createManualRuntime()
  const dispatcher = createDispatcher<string>({ runtime })
  const places: string[] = []
  const state = { isExpected: true }
  const order: string[] = []
  /** Requests a place and records the outcome under a name. */
  const requestPlace = (name: string, options: Partial<PlaceRequest<string>> = {}): Promise<PlaceOutcome<string>> => dispatcher.request({
    rank: 1,
    account: 'one',
    hasBegun: false,
    maxWaitMs: 1_000,
    tryReservePlace: () => places.pop(),
    isPlaceExpected: () => state.isExpected,
    signal: new AbortController().signal,
    ...options
  }).then(outcome => {
    order.push(`${name} ${outcome.kind}`)
    return outcome
  })
  return { runtime, dispatcher, places, state, order, requestPlace }
}

test('a request that can be served at once does not wait', async t => {
  const { places, requestPlace } = setUp()
  places.push('p')
  t.like(await requestPlace('a'), { kind: 'placed', waitedMs: 0 })
})

test('urgent requests go first, then accounts take turns, then arrival decides', async t => {
  const { runtime, dispatcher, places, order, requestPlace } = setUp()
  for (const [name, rank, account] of [['big1', 1, 'big'], ['big2', 1, 'big'], ['small', 1, 'small'], ['urgent', 0, 'big']] as const) requestPlace(name, { rank, account })
  for (let count = 0; count < 4; count++) {
    places.push('p')
    dispatcher.dispatch()
    await runtime.settle()
  }
  t.deepEqual(order, ['urgent placed', 'small placed', 'big1 placed', 'big2 placed'])
})

test('in a burst after a calm, the places that were just assigned count', async t => {
  const { runtime, dispatcher, places, order, requestPlace } = setUp()
  places.push(...Array.from({ length: 30 }, () => 'p'))
  for (let call = 0; call < 45; call++) requestPlace(`r${call}`)
  await runtime.settle()
  places.push(...Array.from({ length: 15 }, () => 'p'))
  dispatcher.dispatch()
  await runtime.settle()
  t.deepEqual(order.filter(outcome => !outcome.endsWith('placed')), [])
})

test('what cannot be served is refused at once, and so are those that wait for it', async t => {
  const { runtime, dispatcher, state, order, requestPlace } = setUp()
  requestPlace('waiting')
  await runtime.settle()
  state.isExpected = false
  t.like(await requestPlace('new'), { kind: 'refused', waitedMs: 0 })
  dispatcher.dispatch()
  await runtime.settle()
  t.deepEqual(order, ['new refused', 'waiting refused'])
})

test('a wait that is no longer useful ends with a refusal', async t => {
  const { runtime, order, requestPlace } = setUp()
  requestPlace('a', { maxWaitMs: 400 })
  await runtime.advance(399)
  t.deepEqual(order, [])
  await runtime.advance(1)
  t.deepEqual(order, ['a refused'])
})

test('a caller that leaves gives up its turn', async t => {
  const { runtime, dispatcher, order, requestPlace } = setUp()
  const controller = new AbortController()
  requestPlace('a', { signal: controller.signal })
  await runtime.settle()
  controller.abort()
  await runtime.settle()
  t.deepEqual(order, ['a aborted'])
  t.is(dispatcher.queueLength(), 0)
})

test('after a fault that halves the fleet, those that cannot start in time are refused on arrival', async t => {
  const { runtime, dispatcher, places, order, requestPlace } = setUp()
  const placeIntervalMs = 100
  for (let arrival = 0; arrival < 40; arrival++) {
    requestPlace(`r${arrival}`, { maxWaitMs: 1_500 })
    await runtime.advance(placeIntervalMs / 2)
    if (arrival % 2 === 1) {
      places.push('p')
      dispatcher.dispatch()
      await runtime.settle()
    }
  }
  const refusedCount = order.filter(line => line.endsWith('refused')).length
  t.true(dispatcher.queueLength() <= 15)
  t.true(refusedCount > 0)
  await runtime.advance(1_500)
  t.is(order.length, 40)
})

test('a short queue waits through a pause in which no place is handed out', async t => {
  const { runtime, order, requestPlace } = setUp()
  for (const name of ['a', 'b', 'c']) requestPlace(name)
  await runtime.settle()
  t.deepEqual(order, [])
})

test('a request whose answer has begun goes first and is never refused', async t => {
  const { runtime, dispatcher, places, state, order, requestPlace } = setUp()
  requestPlace('urgent', { rank: 0 })
  state.isExpected = false
  requestPlace('begun', { rank: 2, maxWaitMs: 0, hasBegun: true })
  await runtime.advance(60_000)
  t.deepEqual(order, ['urgent refused'])
  state.isExpected = true
  requestPlace('next', { rank: 0, maxWaitMs: 1_000 })
  places.push('p')
  dispatcher.dispatch()
  await runtime.settle()
  t.deepEqual(order, ['urgent refused', 'begun placed'])
})

test('requests that have begun and find no place do not keep others from one', async t => {
  const { runtime, dispatcher, places, order, requestPlace } = setUp()
  for (const name of ['begun1', 'begun2', 'begun3']) requestPlace(name, { hasBegun: true, tryReservePlace: () => undefined })
  requestPlace('new')
  places.push('p')
  dispatcher.dispatch()
  await runtime.settle()
  t.deepEqual(order, ['new placed'])
})

test('requests that have begun and find no place do not keep other begun ones from one', async t => {
  const { runtime, places, order, requestPlace } = setUp()
  for (const name of ['begun1', 'begun2']) requestPlace(name, { hasBegun: true, tryReservePlace: () => undefined })
  requestPlace('begun3', { hasBegun: true })
  places.push('p')
  await runtime.advance(200)
  t.deepEqual(order, ['begun3 placed'])
})

test('requests that have begun and wait do not let new ones be refused', async t => {
  const { runtime, places, order, requestPlace } = setUp()
  for (let index = 0; index < 5; index++) requestPlace(`begun${index}`, { hasBegun: true, tryReservePlace: () => undefined })
  places.push('p')
  requestPlace('new')
  await runtime.advance(100)
  t.deepEqual(order, ['new placed'])
})

test('a caller that returns goes before new ones of its rank, and one that comes early does not', async t => {
  const { runtime, dispatcher, places, order, requestPlace } = setUp()
  requestPlace('new1')
  requestPlace('early', { onTimeMs: -100 })
  requestPlace('back', { onTimeMs: -1_500, isReturning: true })
  for (let count = 0; count < 3; count++) {
    places.push('p')
    dispatcher.dispatch()
    await runtime.settle()
  }
  t.deepEqual(order, ['back placed', 'new1 placed', 'early placed'])
})

test('the time that a request brings tells how long ago its first try was, until callers bring less for minutes', async t => {
  const { runtime, dispatcher } = setUp()
  t.is(dispatcher.elapsedMs('chat', 20_000), 0)
  t.is(dispatcher.elapsedMs('chat', 17_500), 2_500)
  t.is(dispatcher.elapsedMs('other', 3_000), 0)
  await runtime.advance(60_000)
  t.is(dispatcher.elapsedMs('chat', 10_000), 10_000)
  await runtime.advance(60_000)
  t.is(dispatcher.elapsedMs('chat', 10_000), 0)
})

test('without an excess no return is planned', t => {
  const { dispatcher } = setUp()
  t.is(dispatcher.planReturn({ rank: 1, leftMs: 20_000, expectedWaitMs: 0 }), undefined)
})
