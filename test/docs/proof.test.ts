import { readdir, readFile } from 'node:fs/promises'
import test from 'ava'
import { SEEDED_FAULTS } from '../../scenario/faults.js'

const scenarios = (await readdir('test/scenarios')).map(file => file.replace('.scenario', '')).sort()

test('docs/PROOF.md names every scenario and no other', async t => {
  const page = await readFile('docs/PROOF.md', 'utf8')
  const named = [...page.matchAll(/test\/scenarios\/([a-z-]+)\.scenario/g)].map(match => match[1]!)
  t.deepEqual([...new Set(named)].sort(), scenarios)
})

test('every seeded fault stands once in the code and names scenarios that exist', async t => {
  for (const { secondEdit, scenarios: names, ...edit } of SEEDED_FAULTS) {
    for (const { file, original } of secondEdit === undefined ? [edit] : [edit, secondEdit]) {
      const code = await readFile(file, 'utf8')
      t.is(code.split(original).length, 2, `${file}: ${original}`)
    }
    for (const name of names) t.true(scenarios.includes(name), name)
  }
})
