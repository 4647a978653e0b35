import test from 'ava'
import { readWholeLog } from './index.js'

const answered = { number: 3200, name: 'gatewayAnswered', text: '', level: 'info', host: 'a', process: 'gateway', wallMs: 1, counter: 0, route: 'r', status: 200, tookMs: 5 }

test('text before the JSON and lines without JSON are skipped', t => {
  const { events, faults } = readWholeLog(`  3.5 host-a ${JSON.stringify(answered)}\nplain text\n`)
  t.is(events.length, 1)
  t.deepEqual(faults, [])
})

test('a line cut in the middle is named', t => {
  t.deepEqual(readWholeLog(`${JSON.stringify(answered)}\n${JSON.stringify(answered).slice(0, 40)}`).faults, [{ line: 2, problem: 'ends in the middle of its JSON, or is none' }])
})

test('lines of another version are named', t => {
  const lines = [{ ...answered, name: 'gatewayDelighted' }, { ...answered, number: 9999 }, { ...answered, tookMs: undefined }, { name: 'gatewayAnswered' }]
  const { events, faults } = readWholeLog(lines.map(line => JSON.stringify(line)).join('\n'))
  t.is(events.length, 0)
  t.deepEqual(faults.map(({ line }) => line), [1, 2, 3, 4])
  t.regex(faults[0]!.problem, /no event gatewayDelighted/)
  t.regex(faults[1]!.problem, /number 3200 here, 9999 there/)
  t.regex(faults[2]!.problem, /field tookMs of gatewayAnswered/)
})
