import test from 'ava'
import { buildEngine } from '../../../test/fakes/buildFleet.js'
import type { Target } from '../types.js'
import { findTargetDefect } from './index.js'

const TARGET = buildEngine('i-1', 'north', 'small', { from: 0, to: 8 })

test('sound targets have no defect', t => {
  t.is(findTargetDefect(TARGET), undefined)
  const { kind: _kind, layers: _layers, ...plain } = TARGET
  t.is(findTargetDefect(plain), undefined)
  for (const address of ['10.1.64.9:8080', '192.168.0.1:1', '223.255.255.255:65535']) t.is(findTargetDefect({ ...TARGET, address }), undefined, address)
})

test('addresses to which nobody can connect are defects', t => {
  const addresses = ['10.0.0.1:99999', '10.0.0.1:65536', '10.0.0.1:0', '10.0.0.1:080', '10.0.0.1:1e3', '10.0.0.1:', '10.0.0.1', ':80', '', '999.1.1.1:80', '10.0.0.01:80', '10.0.1:80', '1.2.3.4:5:6', '0.0.0.0:80', '224.0.0.1:80', '255.255.255.255:80', 'host:80', '::1:80', `${'1'.repeat(100_000)}:80`]
  for (const address of addresses) t.not(findTargetDefect({ ...TARGET, address }), undefined, address.slice(0, 30))
})

test('names that cannot be sent or looked up are defects', t => {
  const names: Array<Partial<Target>> = [{ id: '' }, { id: 'a b' }, { id: 'a\nb' }, { id: 'ü' }, { id: 'x'.repeat(257) }, { service: 'x'.repeat(257) }, { failureDomain: 'x'.repeat(257) }, { kind: '__proto__' }, { kind: 'constructor' }]
  for (const name of names) t.not(findTargetDefect({ ...TARGET, ...name }), undefined, JSON.stringify(name).slice(0, 30))
})

test('numbers outside of their bounds are defects', t => {
  const most = Number.MAX_SAFE_INTEGER
  const numbers: Array<Partial<Target>> = [
    ...[-1, 0, 1.5, 1e308, Infinity, NaN].map(slots => ({ slots })),
    ...[-1, 1.5, 1e308, Infinity].map(bornMs => ({ bornMs })),
    ...[{ from: 0, to: most }, { from: most - 1, to: most }, { from: 3, to: 3 }, { from: 5, to: 3 }].map(layers => ({ layers }))
  ]
  for (const number of numbers) t.not(findTargetDefect({ ...TARGET, ...number }), undefined, JSON.stringify(number))
})
