import http from 'node:http'
import { isIPv4 } from 'node:net'
import test from 'ava'
import fc from 'fast-check'
import { createFleetFormat } from '../../platform/decode.js'
import { findTargetDefect } from '../../src/fleet/findTargetDefect/index.js'
import { createTestLog } from '../fakes/createTestLog.js'

const MOST = Number.MAX_SAFE_INTEGER

const ENTRY = { service: 'model', address: '10.0.0.1:80', zone: 'north', version: 'v1', slots: 4, state: 'ready', cold_remaining_ms: 0, sequence: 1, born: 5, kind: 'small', layers: { from: 0, to: 9, version: 1 } }

/** Text of an entry in which one field is replaced by any text. */
const replaceField = (field: string, text: string): string => JSON.stringify({ ...ENTRY, [field]: 'HERE' }).replace('"HERE"', () => text)
function isJson (text: string): boolean {
  try {
    JSON.parse(text)
    return true
  } catch {
    return false
  }
}

const nest = (levels: number): string => `${'['.repeat(levels)}${']'.repeat(levels)}`

const ODD_VALUES = ['null', '[]', '{}', 'true', '1e999', '-1e999', '1e308', '-1', '1.5', String(MOST), 'NaN', 'Infinity', '"\u0001"', '"__proto__"', '""', JSON.stringify('x'.repeat(100_000)), nest(200_000)]

/** Entries that name no engine to use. */
const ODD_ENTRIES = [
  ...['null', '7', '"text"', '[]', 'true', 'Infinity', 'nul', '{"__proto__":{"slots":4}}', nest(200_000), `{"a":${nest(200_000)}}`],
  ...['service', 'zone', 'version'].flatMap(field => ['7', 'null', nest(200_000)].map(text => replaceField(field, text))),
  ...ODD_VALUES.map(text => replaceField('slots', text)),
  ...ODD_VALUES.map(text => replaceField('address', text)),
  ...['10.0.0.1:99999', '10.0.0.1:0', '10.0.0.1:080', '999.1.1.1:80', '0.0.0.0:80', '10.0.0.1:80:80', '1:80', `${'1'.repeat(100_000)}:80`].map(address => replaceField('address', JSON.stringify(address))),
  ...['-1', '1.5', '1e308', '1e999', '"5"', nest(200_000)].map(text => replaceField('born', text)),
  ...[`{"from":0,"to":${MOST}}`, `{"from":${MOST - 1},"to":${MOST}}`, '{"from":0,"to":1e999}', '{"from":-1,"to":3}', '{"from":0.5,"to":3}', '[0,3]', nest(200_000)].map(text => replaceField('layers', text)),
  ...['"constructor"', '"__proto__"', '7'].map(text => replaceField('kind', text))
]

test('entries that name no engine to use become no targets', t => {
  const format = createFleetFormat(createTestLog())
  for (const text of ODD_ENTRIES.filter(isJson)) t.is(format.decodeTarget({ key: 'servers/i-1', version: 1, value: JSON.parse(text) }), undefined, text.slice(0, 100))
  t.not(format.decodeTarget({ key: 'servers/i-1', version: 1, value: ENTRY }), undefined)
  t.is(format.decodeTarget({ key: 'servers/i-1\n', version: 1, value: ENTRY }), undefined)
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
