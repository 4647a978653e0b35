import test from 'ava'
import type { EngineModel, Target } from '../../src/fleet/types.js'
import { buildStreamHead, encodeEvents, servePlatformEngine, STREAM_END, type EngineScript } from '../../standin/platform/servePlatformEngine/index.js'
import { hashLoadKey } from '../../src/path/hashLoadKey/index.js'
import { createSlowdowns } from '../../src/cost/createSlowdowns/index.js'
import type { StageTime } from '../../src/cost/expectEventMs/index.js'
import { createPaceObserver } from '../../src/gateway/_lib/createPaceObserver.js'
import { createLoadTracker } from '../../src/path/createLoadTracker/index.js'
import { buildEngine, TEST_MODEL } from '../fakes/buildFleet.js'
import { createManualRuntime } from '../fakes/createManualRuntime.js'
import { startTestGateway, TEST_CONFIGURATION } from '../fakes/startTestGateway.js'

/** Streams two events, and ends. */
const SHORT: EngineScript = (request, socket) => { socket.end(buildStreamHead(request) + encodeEvents([1, 2]) + STREAM_END) }

/** A promise with the function that resolves it. */
function createDeferred (): { promise: Promise<void>, resolve: () => void } {
  let resolve = (): void => {}
  const promise = new Promise<void>(_resolve => { resolve = _resolve })
  return { promise, resolve }
}

/** A gateway in front of one engine that holds all layers. */
async function startSingle (script: EngineScript, model: EngineModel) {
  const standin = await servePlatformEngine(script)
  const target: Target = { id: 'e-1', service: 'model', address: standin.address, failureDomain: 'north', bornMs: 1, isLeaving: false, kind: 'large', slots: 134, layers: { from: 0, to: 80 } }
  const configuration = { ...TEST_CONFIGURATION, services: [{ name: 'orders' }, { name: 'model', model }] }
  const gateway = await startTestGateway([target], { configuration })
  return {
    gateway,
    async [Symbol.asyncDispose] () {
      await gateway[Symbol.asyncDispose]()
      await standin[Symbol.asyncDispose]()
    }
  }
}

/** What was expected of each of some answers, in order. */
async function expectedOf (model: Partial<EngineModel>): Promise<unknown[]> {
  await using single = await startSingle(SHORT, { ...TEST_MODEL, layerMb: 100, ...model })
  for (let call = 0; call < 20; call++) await single.gateway.send('/stream/x', { 'token-usage': '100,400' })
  return single.gateway.parts.log.recent().filter(({ name }) => name === 'gatewayAnswered').map(({ expectedTokens }) => expectedTokens)
}

test('answers teach what is expected of the next ones, from the first on', async t => {
  const expected = await expectedOf({ tokensPerEvent: 3 })
  t.is(expected[0], TEST_MODEL.usualOutputTokens)
  t.true(Number(expected.at(-1)) < 20)
})

test('nothing is learned where the tokens of an event are unknown', async t => {
  t.deepEqual([...new Set(await expectedOf({}))], [TEST_MODEL.usualOutputTokens])
})

test('a stream counts on its engine by what it holds and will hold, and no more once it has ended', async t => {
  const longer = createDeferred()
  await using single = await startSingle(async (request, socket) => {
    socket.write(buildStreamHead(request) + encodeEvents([1]))
    await longer.promise
    socket.end(encodeEvents(Array.from({ length: 59 }, (_, index) => index + 2)) + STREAM_END)
  }, { ...TEST_MODEL, layerMb: 100, tokensPerEvent: 10 })
  const tokens = () => (single.gateway.parts.loadTracker.sumWith([]).get(hashLoadKey('e-1'))?.tokenLayers ?? 0) / 80
  const sizes: number[] = []
  single.gateway.parts.loadTracker.onOwnChange(() => sizes.push(tokens()))
  const answer = single.gateway.send('/stream/x', { 'token-usage': '100,600' })
  while (sizes.length < 2) await new Promise(resolve => { setImmediate(resolve) })
  longer.resolve()
  t.true((await answer).isComplete)
  t.true(Math.max(...sizes) >= 700, `${sizes}`)
  t.is(tokens(), 0)
})

/** Feeds events of a stream over one engine to an observer, and collects what it notes as the time taken for each ms expected. */
async function observe (events: ReadonlyArray<{ afterMs: number, isHeldUp?: boolean }>, model: Partial<EngineModel> = { tokensPerEvent: 1 }): Promise<number[]> {
  const runtime = createManualRuntime()
  const factors: number[] = []
  const slowdowns = { ...createSlowdowns({ runtime }), note: (stages: readonly StageTime[], tookMs: number) => { factors.push(tookMs / stages[0]!.expectedMs) } }
  const path = [{ target: buildEngine('a', 'north', 'large'), from: 0, to: 80 }]
  const pace = createPaceObserver({ name: 'model', model: { ...TEST_MODEL, kinds: { large: { memoryMb: 1, pace: 10 / 0.85, prefillFactor: 1 } }, perSequenceMs: 0, perContextKMs: 0, ...model } }, () => path, { slowdowns, loadTracker: createLoadTracker({ runtime }), runtime })
  for (const [index, { afterMs, isHeldUp = false }] of events.entries()) {
    await runtime.advance(afterMs)
    pace.note(index + 1, isHeldUp)
  }
  return factors.map(factor => Math.round(factor))
}

test('the pace of a stream is observed between its events, unless its caller held it up', async t => {
  t.deepEqual(await observe([{ afterMs: 900 }, { afterMs: 60 }, { afterMs: 60 }, { afterMs: 120 }]), [6, 12])
  t.deepEqual(await observe([{ afterMs: 900 }, { afterMs: 5_000, isHeldUp: true }, { afterMs: 120 }]), [12])
  t.deepEqual(await observe([{ afterMs: 900 }, { afterMs: 120 }], { tokensPerEvent: undefined }), [])
})
