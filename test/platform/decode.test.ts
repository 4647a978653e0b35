import test from 'ava'
import { createFleetFormat } from '../../platform/decode.js'
import { createTestLog } from '../fakes/createTestLog.js'

const format = createFleetFormat(createTestLog())
const ENTRY = { service: 'model', address: '10.0.0.1:80', zone: 'north', version: 'v1', slots: 4, state: 'ready', cold_remaining_ms: 0, sequence: 7, born: 5, kind: 'small', layers: { from: 3, to: 9, version: 1 } }
const ROUTE = { name: 'r', host: 'h.example', path_prefix: '/a/', kind: 'streaming', timeout_ms: 20_000, target_latency_ms: 500, priority: 1, max_attempts: 2, public: false, resumable: true, target_gap_ms: 200 }
const LIMITS = { max_header_bytes: 1, max_body_bytes: 2, header_timeout_ms: 3, idle_timeout_ms: 4 }

const decodeTarget = (value: unknown) => format.decodeTarget({ key: 'servers/i-1', version: 1, value })
const decodeConfiguration = (value: unknown) => format.decodeConfiguration({ key: 'config/main', version: 1, value })

test('an entry becomes a target', t => {
  t.deepEqual(decodeTarget(ENTRY), { id: 'i-1', service: 'model', address: '10.0.0.1:80', failureDomain: 'north', bornMs: 5, isLeaving: false, slots: 4, kind: 'small', layers: { from: 3, to: 9 } })
  t.is(decodeTarget({ ...ENTRY, layers: { from: 0, to: 0 } })?.layers, undefined)
  t.is(decodeTarget({ ...ENTRY, state: 'draining' })?.isLeaving, true)
})

test('an entry with a missing or wrong field is no target', t => {
  for (const field of Object.keys(ENTRY).filter(name => name !== 'kind' && name !== 'layers')) {
    const { [field]: _left, ...rest } = ENTRY as Record<string, unknown>
    t.is(decodeTarget(rest), undefined, field)
    t.is(decodeTarget({ ...ENTRY, [field]: { odd: true } }), undefined, field)
  }
  t.is(decodeTarget({ ...ENTRY, state: 'sleeping' }), undefined)
  t.is(decodeTarget('bytes'), undefined)
})

test('a configuration becomes routes, services and accounts', t => {
  const decoded = decodeConfiguration({
    version: 7,
    routes: [{ ...ROUTE, service: 'model' }, { ...ROUTE, name: 's', traffic_split: [{ service: 'model', weight: 90 }, { service: 'new', weight: 10 }] }],
    services: [{ name: 'model' }, { name: 'new' }],
    limits: LIMITS,
    tenants: [{ name: 'studio', api_keys: ['k'], priority: 1 }]
  })
  t.like(decoded, { version: 7, limits: { headerBytes: 1, bodyBytes: 2 } })
  t.like(decoded?.routes[0], { kind: 'stream', objectiveMs: 500, gapObjectiveMs: 200, isResumable: true })
  t.is(decoded?.routes[1]?.services.length, 2)
  t.deepEqual(decoded?.accounts, [{ name: 'studio', keys: ['k'], rank: 1 }])
})

test('the tokens of an event are the steps of a pass, or unknown', t => {
  const engine = {
    slots: 4,
    kv_token_bytes: 1,
    step_ms: 1,
    per_seq_ms: 1,
    context_per_k: 1,
    read_per_s: 1,
    models: [{ load_time_s: 1 }],
    usual: { prompt: 9, answer: 8 },
    layers: 2,
    layer_mb: 1,
    activation_bytes: 1,
    pipe_mbps: 1,
    kinds: []
  }
  const modelOf = (fields: object) => decodeConfiguration({ version: 7, routes: [], services: [{ name: 'model', engine: { ...engine, ...fields } }], limits: LIMITS })?.services[0]?.model
  t.is(modelOf({ stride: 4 })?.tokensPerEvent, 4)
  t.is(modelOf({})?.usualOutputTokens, 8)
  t.is(modelOf({})?.tokensPerEvent, undefined)
})

test('an invalid configuration is ignored', t => {
  t.is(decodeConfiguration({ version: 8, routes: [{ name: 'r' }], services: [], limits: LIMITS }), undefined)
  t.is(decodeConfiguration(null), undefined)
})
