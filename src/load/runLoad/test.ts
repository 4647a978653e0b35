import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { readSettings } from '../../settings/readSettings/index.js'
import type { CompletionOutcome } from '../streamCompletion/index.js'
import { loadMixSchema } from '../types.js'
import { planArrivals } from '../planArrivals/index.js'
import { summarizeLoad } from '../summarizeLoad/index.js'
import { runLoad } from './index.js'

test('the mixes under examples/loads match the schema', async t => {
  for (const name of ['vehicle-wrap-studio', 'embroidery-shops']) {
    const mix = await readSettings(`examples/loads/${name}.jsonc`, loadMixSchema)
    t.true(mix.parts.length > 1)
  }
})

const mix = loadMixSchema.parse({
  requestsPerS: 10,
  durationS: 10,
  parts: [
    { account: 'studio', token: 'studio.s', model: 'draft', share: 3, promptWords: { least: 1, most: 4 }, answerTokens: { least: 2, most: 8 } },
    { account: 'depot', token: 'depot.s', model: 'draft', share: 1, promptWords: { least: 1, most: 4 }, answerTokens: { least: 2, most: 8 } }
  ]
})

test('the same seed gives the same arrivals, in the shares of the mix', t => {
  const arrivals = planArrivals({ ...mix, durationS: 1_000 }, { seed: 7 })
  t.deepEqual(planArrivals({ ...mix, durationS: 1_000 }, { seed: 7 }), arrivals)
  t.true(Math.abs(arrivals.length / 10_000 - 1) < 0.05)
  const studio = arrivals.filter(arrival => arrival.account === 'studio').length
  t.true(Math.abs(studio / arrivals.length - 0.75) < 0.03)
})

test('a request is sent while another is stalled, and its times count from its intended start', async t => {
  const runtime = createManualRuntime()
  const arrivals = planArrivals(mix, { seed: 1 }).slice(0, 2).map((arrival, index) => ({ ...arrival, atMs: index * 10 }))
  const waiting: Array<() => void> = []
  const running = runLoad(arrivals, {
    addresses: ['a'],
    runtime,
    send: () => new Promise<CompletionOutcome>(resolve => {
      waiting.push(() => resolve({ kind: 'complete', status: 200, tokens: ['x'], tokenAtMs: [runtime.monotonicMs()], ids: ['r:1:0'] }))
    })
  })
  await runtime.advance(10)
  t.is(waiting.length, 2, 'the second is sent while the first is open')
  await runtime.advance(90)
  waiting.forEach(answer => answer())
  const records = await running
  t.deepEqual(records.map(record => record.tokenAtMs), [[100], [100]])
  const summary = summarizeLoad(records, { seed: 1, durationS: 1 })
  t.is(summary.firstTokenMs.max.toPrecision(3), '100')
  t.is(summary.firstTokenMs.p50.toPrecision(2), '90')
})
