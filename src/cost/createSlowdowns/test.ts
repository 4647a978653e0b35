import test from 'ava'
import { createManualRuntime, type ManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createSlowdowns, type Slowdowns } from './index.js'

const ENGINES = Array.from({ length: 10 }, (_, index) => `e-${index}`)

interface Replay {
  runtime: ManualRuntime
  slowdowns: Slowdowns
  /** Lets 20 streams over random paths of four engines make events for a time. */
  run: (forMs: number, options: { slowIds?: readonly string[], common?: number, avoid?: boolean }) => Promise<void>
}

/** Each engine should need 10 ms for an event; slow ones need twelve times that. */
function startReplay (seed = 1): Replay {
  const runtime = createManualRuntime({ seed })
  const slowdowns = createSlowdowns({ runtime })
  const choose = (avoid: boolean): string[] => [...ENGINES]
    .map(id => ({ id, cost: (avoid ? slowdowns.slowdownOf(id) : 1) + runtime.random() }))
    .sort((a, b) => a.cost - b.cost).slice(0, 4).map(({ id }) => id)
  return {
    runtime,
    slowdowns,
    async run (forMs, { slowIds = [], common = 1, avoid = false }) {
      const streams = Array.from({ length: 20 }, () => ({ path: choose(avoid), startedMs: runtime.monotonicMs() }))
      for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += 20) {
        await runtime.advance(20)
        for (const stream of streams) {
          const eventMs = stream.path.reduce((sum, id) => sum + 10 * common * (slowIds.includes(id) ? 12 : 1), 0) * (0.8 + 0.4 * runtime.random())
          const tookMs = runtime.monotonicMs() - stream.startedMs
          if (tookMs < Math.max(100, eventMs)) continue
          const events = Math.max(1, Math.round(tookMs / eventMs))
          slowdowns.note(stream.path.map(targetId => ({ targetId, expectedMs: 10 * events })), tookMs)
          Object.assign(stream, { path: choose(avoid), startedMs: runtime.monotonicMs() })
        }
      }
    }
  }
}

test('one of ten engines at a twelfth of its speed is found within a second, and the others are not slower', async t => {
  for (let seed = 1; seed <= 8; seed++) {
    const { run, slowdowns } = startReplay(seed)
    await run(2_000, {})
    for (const id of ENGINES) t.is(slowdowns.slowdownOf(id), 1, `${id}, seed ${seed}`)
    await run(1_000, { slowIds: ['e-3'] })
    t.true(slowdowns.slowdownOf('e-3') > 4, `${slowdowns.slowdownOf('e-3')}, seed ${seed}`)
    for (const id of ENGINES) if (id !== 'e-3') t.is(slowdowns.slowdownOf(id), 1, `${id}, seed ${seed}`)
  }
})

test('an engine that gets no streams is tried again within seconds, and one that recovers is cleared by its streams', async t => {
  const { run, slowdowns, runtime } = startReplay()
  await run(2_000, { slowIds: ['e-3'] })
  const slowest = slowdowns.slowdownOf('e-3')
  await run(1_000, {})
  t.true(slowdowns.slowdownOf('e-3') < slowest / 2)
  await run(2_000, { slowIds: ['e-3'] })
  await runtime.advance(8_000)
  t.is(slowdowns.slowdownOf('e-3'), 1)
})

test('four of ten slow engines are found, as a part of a fleet is slow at once', async t => {
  const { run, slowdowns } = startReplay()
  const slowIds = ['e-1', 'e-4', 'e-6', 'e-9']
  await run(2_000, { slowIds })
  const found = ENGINES.filter(id => slowdowns.slowdownOf(id) > 1)
  t.deepEqual(found, slowIds)
})

test('a load that slows down all engines alike slows down none in particular', async t => {
  const { run, slowdowns } = startReplay()
  await run(2_000, { common: 3 })
  for (const id of ENGINES) t.is(slowdowns.slowdownOf(id), 1, id)
})

test('factors are bounded, and engines that are gone are forgotten', t => {
  const slowdowns = createSlowdowns({ runtime: createManualRuntime() })
  slowdowns.note([], 1_000)
  for (let pause = 0; pause < 50; pause++) {
    slowdowns.note([{ targetId: 'a', expectedMs: 10 }], 100_000)
    for (const targetId of ['b', 'c']) slowdowns.note([{ targetId, expectedMs: 10 }], 10)
  }
  t.true(slowdowns.slowdownOf('a') > 15 && slowdowns.slowdownOf('a') <= 16)
  slowdowns.retain(new Set(['b']))
  t.is(slowdowns.slowdownOf('a'), 1)
})
