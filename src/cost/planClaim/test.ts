import test from 'ava'
import { planClaim } from './index.js'

const HEAVY = { outputTokens: 169, highOutputTokens: 358 }
const NARROW = { outputTokens: 169, highOutputTokens: 180 }
const answer = (promptTokens: number, madeTokens: number, maxTokens = 600) => ({ promptTokens, madeTokens, maxTokens })

/** Standard normal values in an order without a trend. */
const NORMALS = Array.from({ length: 997 }, (_, index) => {
  const u = ((index * 379) % 997 + 0.5) / 997
  return Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * ((index * 0.618034) % 1))
})

interface Stream { prompt: number, length: number, outputTokens: number, highOutputTokens: number, made: number, claim: number, until: number }

/** Sets what a stream counts for, and until when. */
type Plan = (stream: Stream) => void

const planned: Plan = stream => {
  const { tokens, untilTokens } = planClaim(stream, answer(stream.prompt, stream.made))
  Object.assign(stream, { claim: tokens, until: untilTokens })
}
const constant: Plan = stream => { Object.assign(stream, { claim: stream.prompt + stream.outputTokens, until: Infinity }) }
const heldOnly: Plan = stream => { Object.assign(stream, { claim: stream.prompt + stream.made, until: stream.made + 40 }) }

/** A full engine that takes a stream whenever its claims leave room: the mean use of its cache, and the share of its streams that it would preempt. */
function replayFullEngine (promptTokens: number, plan: Plan, { isHinted = false, spread = 0.9 } = {}): { use: number, preemptedShare: number } {
  const [cacheTokens, steps, cacheShare] = [30_000, 3_000, 0.95]
  let [streams, next, used, ended, preempted] = [[] as Stream[], 0, 0, 0, 0]
  for (let step = 0; step < steps; step++) {
    for (;;) {
      const length = Math.min(600, 169 * Math.exp(-spread * spread / 2 + spread * NORMALS[next % 997]!))
      const hinted = length * Math.exp(0.4 * NORMALS[(next * 7 + 3) % 997]!)
      const stream = { prompt: promptTokens, length, ...(isHinted ? { outputTokens: hinted, highOutputTokens: 1.6 * hinted } : { ...HEAVY, ...(spread < 0.1 ? NARROW : {}) }), made: 0, claim: 0, until: 0 }
      constant(stream)
      if (streams.reduce((sum, { claim }) => sum + claim, stream.claim) > cacheTokens * cacheShare) break
      plan(stream)
      streams.push(stream)
      next++
    }
    for (const stream of streams) if (++stream.made >= stream.until) plan(stream)
    const open = streams.filter(({ made, length }) => made < length)
    ended += streams.length - open.length
    streams = open
    let inUse = streams.reduce((sum, { prompt, made }) => sum + prompt + made, 0)
    used += inUse / cacheTokens / steps
    for (; inUse > cacheTokens; preempted++) {
      const { prompt, made } = streams.pop()!
      inUse -= prompt + made
    }
  }
  return { use: used, preemptedShare: preempted / ended }
}

test('a full engine with long prompts uses its cache, and preempts hardly a stream', t => {
  const [usual, before] = [replayFullEngine(720, planned, { isHinted: true }), replayFullEngine(720, constant, { isHinted: true })]
  t.true(usual.use > before.use + 0.03, `${usual.use}, constant claims ${before.use}`)
  t.true(usual.preemptedShare < 0.02, String(usual.preemptedShare))
  t.true(replayFullEngine(720, planned).preemptedShare < 0.02)
})

test('a full engine with short prompts preempts hardly a stream, though all outgrow what they hold at first', t => {
  const { preemptedShare } = replayFullEngine(40, planned)
  const held = replayFullEngine(40, heldOnly)
  t.true(preemptedShare < 0.02, String(preemptedShare))
  t.true(held.preemptedShare > 5 * preemptedShare, String(held.preemptedShare))
})

test('a full engine preempts hardly a stream where all begin together and last equally long', t => {
  const { use, preemptedShare } = replayFullEngine(40, planned, { spread: 0.05 })
  t.true(preemptedShare < 0.02, String(preemptedShare))
  t.true(use > 0.4, String(use))
})

test('a stream that outgrew its estimate counts what it really holds', t => {
  t.true(planClaim(HEAVY, answer(700, 599)).tokens >= 1_299)
  t.true(planClaim({ outputTokens: 0, highOutputTokens: 0 }, answer(700, 10)).tokens >= 710)
  t.true(Number.isFinite(planClaim({ outputTokens: 2, highOutputTokens: 2 }, answer(700, 1e6, 1e7)).tokens))
})

test('a stream is planned a few times only', t => {
  let [steps, made] = [0, 0]
  for (; made < HEAVY.highOutputTokens; steps++) made = planClaim(HEAVY, answer(700, made)).untilTokens
  t.true(steps <= 6, String(steps))
})
