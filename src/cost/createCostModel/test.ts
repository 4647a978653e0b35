import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createCostModel, type CostModel, type StreamTraits } from './index.js'

const REQUEST: StreamTraits = { route: 'brief', account: 'studio', sharedParts: ['a1'], usualTokens: 174, maxTokens: 600, hintedTokens: undefined }

/** Standard normal values in an order without a trend. */
const NORMALS = Array.from({ length: 200 }, (_, index) => {
  const u = ((index * 73) % 200 + 0.5) / 200
  return Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * ((index * 0.618) % 1))
})

function learnAll (costs: CostModel, lengths: readonly number[], request: Partial<StreamTraits> = {}, hintOf: (length: number, index: number) => number | undefined = () => undefined): void {
  lengths.forEach((length, index) => costs.noteTokens({ ...REQUEST, ...request, hintedTokens: hintOf(length, index) }, length, { isWhole: true }))
}

const meanOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length

test('a host that just started expects half of the hint and half of the usual output, within the maximum', t => {
  const costs = createCostModel({ runtime: createManualRuntime() })
  t.like(costs.expectTokens(REQUEST), { outputTokens: 174, answers: 0, workMs: undefined })
  t.is(costs.expectTokens({ ...REQUEST, hintedTokens: 74 }).outputTokens, 124)
  t.is(costs.expectTokens({ ...REQUEST, hintedTokens: 0 }).outputTokens, 87)
  t.is(costs.expectTokens({ ...REQUEST, maxTokens: 60 }).outputTokens, 60)
  t.is(costs.expectWork(REQUEST).workMs, undefined)
})

test('under a heavy tail the mean and the length that nine of ten stay below are learned', t => {
  const costs = createCostModel({ runtime: createManualRuntime() })
  const lengths = NORMALS.map(z => Math.max(1, Math.min(600, Math.round(60 * Math.exp(1.1 * z)))))
  learnAll(costs, lengths)
  const { outputTokens, highOutputTokens, answers } = costs.expectTokens(REQUEST)
  t.true(Math.abs(Math.log(outputTokens / meanOf(lengths))) < Math.log(1.35), `${outputTokens} of ${meanOf(lengths)}`)
  const below = lengths.filter(length => length <= highOutputTokens).length / lengths.length
  t.true(below > 0.82 && below < 0.97, `${below} below ${highOutputTokens}`)
  t.true(answers > 32)
})

test('a route whose answers double in length is followed, others are not touched', t => {
  const costs = createCostModel({ runtime: createManualRuntime() })
  const lengths = NORMALS.slice(0, 100).map(z => 100 * Math.exp(0.3 * z))
  for (let round = 0; round < 4; round++) {
    learnAll(costs, lengths)
    learnAll(costs, lengths, { route: 'note' })
  }
  const before = costs.expectTokens(REQUEST).outputTokens
  learnAll(costs, lengths.map(length => 2 * length))
  t.true(costs.expectTokens(REQUEST).outputTokens > 1.6 * before)
  t.true(costs.expectTokens({ ...REQUEST, route: 'note' }).outputTokens < 1.2 * before)
})

test('hints that are ten times too high are corrected, and hints at random are not followed', t => {
  const lengths = NORMALS.map(z => 100 * Math.exp(0.8 * z))
  const biased = createCostModel({ runtime: createManualRuntime() })
  learnAll(biased, lengths, {}, length => 10 * length)
  for (const length of [30, 100, 300]) {
    const { outputTokens } = biased.expectTokens({ ...REQUEST, hintedTokens: 10 * length })
    t.true(outputTokens > 0.6 * length && outputTokens < 1.6 * length, `${outputTokens} of ${length}`)
  }
  const random = createCostModel({ runtime: createManualRuntime() })
  learnAll(random, lengths, {}, (_, index) => 100 * Math.exp(2 * NORMALS[(index * 7 + 3) % 200]!))
  const [low, high] = [10, 1_000].map(hintedTokens => random.expectTokens({ ...REQUEST, hintedTokens }).outputTokens)
  t.true(high! < 2.5 * low!, `${low} and ${high}`)
})

test('an account and a shared part of the prompt correct the route', t => {
  const costs = createCostModel({ runtime: createManualRuntime() })
  for (let round = 0; round < 40; round++) {
    learnAll(costs, [50], { account: 'short', sharedParts: [] })
    learnAll(costs, [50], { account: 'mixed', sharedParts: ['s'] })
    learnAll(costs, [400], { account: 'mixed', sharedParts: ['l'] })
  }
  const expect = (account: string, sharedParts: string[]) => costs.expectTokens({ ...REQUEST, account, sharedParts }).outputTokens
  t.true(expect('short', []) < 75)
  t.true(expect('mixed', ['l']) > 3 * expect('mixed', ['s']))
  t.true(expect('new', []) > expect('short', []) && expect('new', []) < expect('mixed', ['l']))
})

test('a cut answer teaches only if it is longer than expected, and then that it would have been longer', t => {
  const [cut, whole] = [createCostModel({ runtime: createManualRuntime() }), createCostModel({ runtime: createManualRuntime() })]
  for (const costs of [cut, whole]) learnAll(costs, NORMALS.slice(0, 40).map(z => 100 * Math.exp(0.5 * z)))
  const before = cut.expectTokens(REQUEST)
  for (let call = 0; call < 40; call++) cut.noteTokens(REQUEST, 5, { isWhole: false })
  t.deepEqual(cut.expectTokens(REQUEST), before)
  cut.noteTokens(REQUEST, 400, { isWhole: false })
  whole.noteTokens(REQUEST, 400, { isWhole: true })
  t.true(cut.expectTokens(REQUEST).outputTokens > whole.expectTokens(REQUEST).outputTokens)
})

test('what was learned is forgotten', async t => {
  const runtime = createManualRuntime()
  const costs = createCostModel({ runtime })
  learnAll(costs, Array.from({ length: 40 }, () => 20))
  t.true(costs.expectTokens(REQUEST).outputTokens < 60)
  await runtime.advance(900_000)
  t.true(costs.expectTokens(REQUEST).outputTokens > 170)
  t.is(costs.expectTokens(REQUEST).answers, 0)
})

test('the groups are bounded, and those that learn stay', t => {
  const costs = createCostModel({ runtime: createManualRuntime() })
  for (let index = 0; index < 3_000; index++) {
    learnAll(costs, [20], { account: undefined, sharedParts: [] })
    learnAll(costs, [20], { route: 'note', account: `a${index}`, sharedParts: [`p${index}`] })
  }
  t.true(costs.expectTokens({ ...REQUEST, account: undefined, sharedParts: [] }).answers > 32)
  t.true(costs.expectTokens({ ...REQUEST, route: 'note', account: 'a2999', sharedParts: [] }).answers === 1)
  // Of the first account only the route is left.
  t.true(costs.expectTokens({ ...REQUEST, route: 'note', account: 'a0', sharedParts: ['p0'] }).answers > 32)
})

test('the work of plain requests is learned by route and account', t => {
  const costs = createCostModel({ runtime: createManualRuntime() })
  for (let answer = 0; answer < 30; answer++) {
    costs.noteWork({ route: 'orders', account: 'light', sharedParts: [] }, 10)
    costs.noteWork({ route: 'orders', account: 'heavy', sharedParts: [] }, 200)
  }
  t.true(costs.expectWork({ route: 'orders', account: 'heavy', sharedParts: [] }).workMs! > 5 * costs.expectWork({ route: 'orders', account: 'light', sharedParts: [] }).workMs!)
})
