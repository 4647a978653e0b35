import { readFile } from 'node:fs/promises'
import test from 'ava'
import { EVENTS } from '../src/event/catalogue.js'

test('every event is listed in docs/EVENTS.md as it stands in the code', async t => {
  const page = await readFile('docs/EVENTS.md', 'utf8')
  const rows = page.split('\n').filter(line => /^\| \d/.test(line))
  const expected = Object.entries(EVENTS)
    .sort(([, a], [, b]) => a.number - b.number)
    .map(([name, event]) => `| ${event.number} | ${name} | ${event.level} | ${event.text} |`)
  t.deepEqual(rows, expected)
})

test('no two events share a number', t => {
  const numbers = Object.values(EVENTS).map(event => event.number)
  t.is(new Set(numbers).size, numbers.length)
})
