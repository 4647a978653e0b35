import test from 'ava'
import { readSite } from '../../platform/readSite/index.js'

const SITE = `
name = "plain"
thin = 0.5
length_s = 10
zones = [{ name = "north" }]
services = [
  { name = "writers", slots = 100, servers = [{ zone = "north", count = 4, kind = "fast" }], llm = { step_ms = 1, step_ms_per_slot = 0.01, context_ms_per_k = 0.1, prefill_tokens_per_ms = 100, kv_bytes = 800000, stride = 4, joint = { layers = 80, layer_mb = 1000, act_bytes = 10, pipe_mbps = 100, kinds = [{ name = "fast", mb = 50000, pace = 2, read_x = 3 }] } } },
  { name = "desk", slots = 6, servers = [{ zone = "north", count = 2 }] },
]
classes = [
  { name = "note", service = "writers", aim_ms = 500, stream = { pieces = { mean = 40 }, gap_aim_ms = 250, prompt_tokens = { mean = 760 }, chain = [{ tokens = { mean = 40 } }] } },
  { name = "order", service = "desk", aim_ms = 100, work_ms = { mean = 15 } },
]
models = [{ name = "m0", load_s = 14 }]
[net]
in_zone_ms = 0.1
[weights]
at_once = 15
[[day]]
name = "one"
plan = [{ at = 5, kind = "scale_in", share = 0.25 }, { at = 1, kind = "config_change" }]
faults = [{ at = 2, kind = "srv_crash", service = "writers", count = 1, how = "joined dark", for_s = 3 }, { at = 3, kind = "srv_crash", count = 1, how = "gone" }, { at = 4, kind = "burst", class = "note", x = 2, for_s = 1 }]
traffic = [{ zone = "north", per_s = 10, mix = { note = 3, order = 1 }, shape = { kind = "wave", swing = 0.5, period_s = 13, phase = 0.1 } }]
`

test('a site is told in the product\'s words and as it is played', t => {
  const site = readSite(SITE)
  t.like(site.routes[0], { promptTokens: 800, outputTokens: 160, workMs: 0, gapObjectiveMs: 250 })
  t.like(site.routes[1], { promptTokens: 0, workMs: 30, gapObjectiveMs: undefined })
  t.like(site.models[0]!.model, { layerCount: 80, slots: 50, tokenLayerMb: 0.02, perSequenceMs: 0.02, activationBytes: 20, stepMs: 1, kinds: { fast: { memoryMb: 50_000, pace: 2, prefillFactor: 3 } } })
  t.deepEqual(site.targets.map(({ service, count, kind }) => [service, count, kind]), [['writers', 4, 'fast'], ['desk', 2, undefined]])
  t.like(site.days[0]!.demand[0], { requestsPerS: 5, shares: { note: 0.75, order: 0.25 } })
})

test('disruptions become what they take away, the others are named', t => {
  const { changes, leftOut } = readSite(SITE).days[0]!
  t.deepEqual(changes.map(({ kind, atS, untilS, count, share, factor }) => [kind, atS, untilS, count, share, factor]), [
    ['down', 2, 5, 1, undefined, 1], ['gone', 3, Infinity, 1, undefined, 1], ['burst', 4, 5, undefined, 0.15, 2], ['gone', 5, Infinity, undefined, 0.25, 1]
  ])
  t.deepEqual(leftOut, ['config_change'])
})

test('missing fields are named', t => {
  t.throws(() => readSite(SITE.replace('length_s = 10', '').replace('layers = 80, ', '')), { message: /field length_s: .*\nfield services\.0\.llm\.joint\.layers: / })
})
