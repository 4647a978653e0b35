import { readFile } from 'node:fs/promises'
import test from 'ava'
import { EVENTS } from '../src/event/catalogue.js'
import { renderEvents } from './docs/renderTables.js'

test('every event is listed in docs/EVENTS.md as it stands in the code', async t => {
  t.is(await readFile('docs/EVENTS.md', 'utf8'), renderEvents(), 'run "npm run docs"')
})

test('no two events share a number', t => {
  const numbers = Object.values(EVENTS).map(event => event.number)
  t.is(new Set(numbers).size, numbers.length)
})
