import { readFile } from 'node:fs/promises'
import test from 'ava'
import { renderTables, replaceTables } from './renderTables.js'

test('the tables of docs/OPERATING.md are those of the code', async t => {
  const page = await readFile('docs/OPERATING.md', 'utf8')
  const tables = renderTables()
  for (const name of Object.keys(tables)) t.true(page.includes(`<!-- ${name} -->`), name)
  t.is(page, replaceTables(page, tables), 'run "npm run docs"')
})
