import http from 'node:http'
import { isIPv4 } from 'node:net'
import test from 'ava'
import fc from 'fast-check'
import { createPlatformStore } from '../../platform/createPlatformStore.js'
import { createFleetFormat } from '../../platform/decode.js'
import { createFleetState } from '../../src/fleet/createFleetState/index.js'
import { findTargetDefect } from '../../src/fleet/findTargetDefect/index.js'
import { followFleet } from '../../src/fleet/followFleet/index.js'
import { listen } from '../../src/http/listen/index.js'
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import { createTestLog } from '../fakes/createTestLog.js'

const runtime = createSystemRuntime()
const MOST = Number.MAX_SAFE_INTEGER
const DEADLINE_MS = 60_000

const ENTRY = { service: 'model', address: '10.0.0.1:80', zone: 'north', version: 'v1', slots: 4, state: 'ready', cold_remaining_ms: 0, sequence: 1, born: 5, kind: 'small', layers: { from: 0, to: 9, version: 1 } }

/** Text of an entry in which one field is replaced by any text. */
const replaceField = (field: string, text: string): string => JSON.stringify({ ...ENTRY, [field]: 'HERE' }).replace('"HERE"', () => text)
const nest = (levels: number): string => `${'['.repeat(levels)}${']'.repeat(levels)}`

/** Nesting at which functions that call themselves run out of stack. */
const LEVELS = 20_000

const ODD_VALUES = ['null', '[]', '{}', 'true', '1e999', '-1e999', '1e308', '-1', '1.5', String(MOST), 'NaN', 'Infinity', '"\u0001"', '"__proto__"', '""', JSON.stringify('x'.repeat(20_000)), nest(LEVELS)]

/** Entries that name no engine to use. */
const ODD_ENTRIES = [
  ...['null', '7', '"text"', '[]', 'true', 'Infinity', 'nul', '{"__proto__":{"slots":4}}', nest(LEVELS), `{"a":${nest(LEVELS)}}`],
  ...['service', 'zone', 'version'].flatMap(field => ['7', 'null', nest(LEVELS)].map(text => replaceField(field, text))),
  ...ODD_VALUES.map(text => replaceField('slots', text)),
  ...ODD_VALUES.map(text => replaceField('address', text)),
  ...['10.0.0.1:99999', '10.0.0.1:0', '10.0.0.1:080', '999.1.1.1:80', '0.0.0.0:80', '10.0.0.1:80:80', '1:80', `${'1'.repeat(20_000)}:80`].map(address => replaceField('address', JSON.stringify(address))),
  ...['-1', '1.5', '1e308', '1e999', '"5"', nest(LEVELS)].map(text => replaceField('born', text)),
  ...[`{"from":0,"to":${MOST}}`, `{"from":${MOST - 1},"to":${MOST}}`, '{"from":0,"to":1e999}', '{"from":-1,"to":3}', '{"from":0.5,"to":3}', '[0,3]', nest(LEVELS)].map(text => replaceField('layers', text)),
  ...['"constructor"', '"__proto__"', '7'].map(text => replaceField('kind', text))
]

const itemOf = (name: string, specText: string, revision: number): string => `{"metadata":{"name":${JSON.stringify(name)},"revision":${revision},"created":1,"finalizers":[],"deleting":false},"spec":${specText},"status":null}`

/** A store that answers with texts as they are: one page for each name after which a list continues, and one for the first watch. */
async function serveTexts ({ pages, watch = '{"events":[],"as_of":9}' }: { pages: Record<string, string>, watch?: string }) {
  const calls: string[] = []
  const server = await listen(async (request, response) => {
    const url = new URL(request.url ?? '/', 'http://store')
    calls.push(url.search)
    const isWatch = url.searchParams.has('watch')
    const text = isWatch ? (url.searchParams.get('watch') === '5' ? watch : undefined) : pages[url.searchParams.get('after') ?? '']
    if (text === undefined && isWatch) await new Promise(resolve => response.once('close', resolve))
    else response.writeHead(text === undefined ? 400 : 200, { 'content-type': 'application/json' }).end(text)
  }, { address: '127.0.0.1', port: 0 })
  return { ...server, calls }
}

const open = (address: string) => createPlatformStore({ address, callTimeoutMs: DEADLINE_MS, watchWaitMs: 10, watchGraceMs: DEADLINE_MS, runtime, onCall: () => {} })

const pageOf = (items: readonly string[], truncated = false): string => `{"items":[${items.join(',')}],"truncated":${truncated},"as_of":5}`

test('odd entries are left out of a list, and the others used', async t => {
  const items = [itemOf('a', JSON.stringify(ENTRY), 1), itemOf('deep', nest(200_000), 1), ...ODD_ENTRIES.map((text, index) => itemOf(`m-${index}`, text, 2)), itemOf('z', JSON.stringify(ENTRY), 3)]
  await using server = await serveTexts({ pages: { '': pageOf(items) } })
  await using store = open(server.address)
  const listed = await store.list('servers/')
  t.is(listed.kind, 'listed')
  const format = createFleetFormat(createTestLog())
  const targets = listed.kind === 'listed' ? listed.objects.flatMap(object => format.decodeTarget(object) ?? []) : []
  t.deepEqual(targets.map(({ id }) => id), ['a', 'z'])
  t.is(format.decodeTarget({ key: 'servers/i-1\n', version: 1, value: ENTRY }), undefined)
})

test('a page of odd items does not end a list', async t => {
  const pages = {
    '': pageOf([itemOf('a', JSON.stringify(ENTRY), 1), 'null', '7'], true),
    a: pageOf(['null', '[]', '{"metadata":{"name":"b","revision":"x"}}', '{"metadata":7}'], true),
    b: pageOf([itemOf('c', JSON.stringify(ENTRY), 1)])
  }
  await using server = await serveTexts({ pages })
  await using store = open(server.address)
  const listed = await store.list('servers/')
  t.deepEqual(listed.kind === 'listed' ? listed.objects.map(({ key }) => key) : listed, ['servers/a', 'servers/c'])
})

test('a list that cannot be continued is neither taken for whole nor read again and again', async t => {
  for (const items of [[], ['null'], [itemOf('', JSON.stringify(ENTRY), 1)]]) {
    await using server = await serveTexts({ pages: { '': pageOf(items, true) } })
    await using store = open(server.address)
    t.is((await store.list('servers/')).kind, 'unavailable')
    t.is(server.calls.length, 1)
  }
})

test('a host goes on following while entries become odd and sound again', async t => {
  const changes = [
    'null', '7', '{}', '{"object":null,"deleted":true}', '{"object":{"metadata":7},"deleted":"x"}',
    `{"object":${itemOf('turned', 'Infinity', 6)},"deleted":false}`,
    ...ODD_ENTRIES.map((text, index) => `{"object":${itemOf(`m-${index}`, text, 6)},"deleted":${index % 2 === 1}}`),
    `{"object":${itemOf('mended', JSON.stringify(ENTRY), 7)},"deleted":false}`,
    `{"object":${itemOf('gone', 'NaN', 8)},"deleted":true}`
  ]
  const pages = { '': pageOf([itemOf('gone', JSON.stringify(ENTRY), 1), itemOf('kept', JSON.stringify(ENTRY), 1), itemOf('mended', nest(LEVELS), 1), itemOf('turned', JSON.stringify(ENTRY), 1)]) }
  await using server = await serveTexts({ pages, watch: `{"events":[${changes.join(',')}],"as_of":9}` })
  await using store = open(server.address)
  const fleet = createFleetState({ runtime })
  const controller = new AbortController()
  const ids = (): string[] => fleet.targets().map(({ id }) => id).sort()
  // A host that could not read in time keeps missing targets for a while.
  const isDone = (): boolean => ids().join() === 'kept,mended'
  const followed = new Promise<void>(resolve => { fleet.onChange(() => { if (isDone()) resolve() }) })
  const format = { ...createFleetFormat(createTestLog()), configurationKey: 'none/main' }
  followFleet(fleet, { store, format, log: createTestLog(), runtime, signal: controller.signal, isStoreUpForPeers: () => false, isReader: () => true, isConfigurationWatcher: () => false })
  await followed
  t.deepEqual(ids(), ['kept', 'mended'])
  t.is(fleet.revision(), 9)
  controller.abort()
})

test('an odd entry that is written again and again is logged once', t => {
  const log = createTestLog()
  const format = createFleetFormat(log)
  const countLines = (): number => log.recent().filter(({ name }) => name === 'targetInvalid').length
  const decode = (value: unknown, version: number) => format.decodeTarget({ key: 'servers/i-1', version, value })
  for (let version = 1; version < 9; version++) decode({ ...ENTRY, slots: -1 }, version)
  t.is(countLines(), 1)
  decode({ ...ENTRY, address: '10.0.0.1:99999' }, 9)
  t.is(countLines(), 2, 'another defect')
  t.not(decode(ENTRY, 10), undefined)
  decode({ ...ENTRY, address: '10.0.0.1:99999' }, 11)
  t.is(countLines(), 3, 'odd again')
  for (let index = 0; index < 5_000; index++) format.decodeTarget({ key: `servers/${'x'.repeat(2_000)}${index}`, version: 1, value: null })
  t.true(log.recent().every(event => JSON.stringify(event).length < 1_000))
})

test('whatever an entry holds, decoding does not throw, and what is decoded can be used', t => {
  const format = createFleetFormat(createTestLog())
  const number = fc.oneof(fc.double(), fc.integer(), fc.constantFrom(MOST, -1, 0, 1.5, 99_999))
  const address = fc.oneof(fc.tuple(fc.ipV4(), fc.integer({ min: -1, max: 70_000 })).map(([ip, port]) => `${ip}:${port}`), fc.ipV4(), fc.ipV6(), fc.string())
  const field = fc.oneof(number, address, fc.string(), fc.jsonValue())
  const fields = fc.record(Object.fromEntries(Object.keys(ENTRY).map(name => [name, field])), { requiredKeys: [] })
  const odd = fc.record({ address, slots: number, born: number, layers: fc.oneof(fc.record({ from: number, to: number }), fc.jsonValue()), kind: fc.string() }, { requiredKeys: [] })
  const entry = fc.oneof(fc.anything(), fields, fc.oneof(odd, fields).map(changed => ({ ...ENTRY, ...changed })))
  fc.assert(fc.property(fc.string(), entry, (name, value) => {
    const target = format.decodeTarget({ key: `servers/${name}`, version: 1, value })
    if (target === undefined) return
    t.is(findTargetDefect(target), undefined)
    const [host, port] = target.address.split(':')
    t.true(isIPv4(host!) && Number(port) < 65_536)
    t.notThrows(() => http.validateHeaderValue('Expect-Instance', target.id))
  }), { seed: 53, numRuns: 2_000 })
})
