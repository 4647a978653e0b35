import { readdir, readFile } from 'node:fs/promises'
import test from 'ava'
import { grammar } from '../scenario/grammar.js'
import { parseScenario, type Statement } from '../scenario/parseScenario/index.js'
import { runScenario, STATEMENT_KINDS } from '../scenario/runScenario/index.js'

const SCENARIO_FOLDER = 'test/scenarios'
const GOLDEN_FOLDER = 'test/golden'

const files = (await readdir(SCENARIO_FOLDER)).filter(file => file.endsWith('.scenario')).sort()
const goldenFiles = new Set(await readdir(GOLDEN_FOLDER))

async function loadScenario (file: string): Promise<Statement[]> {
  const parsed = parseScenario(await readFile(`${SCENARIO_FOLDER}/${file}`, 'utf8'), { file })
  if (parsed.kind === 'invalid') throw new Error(parsed.faults.join('\n'))
  return parsed.statements
}

for (const file of files) {
  const name = file.replace('.scenario', '')
  test.serial(`scenario ${name}`, async t => {
    const outcome = await runScenario(await loadScenario(file), { seed: 1 })
    t.is(outcome.failure, undefined, `seed 1\n${outcome.transcript}`)
    if (goldenFiles.has(`${name}.txt`)) t.is(outcome.transcript, await readFile(`${GOLDEN_FOLDER}/${name}.txt`, 'utf8'), 'golden transcript')
  })
}

test('every statement of the grammar can be run', t => {
  const rules = Object.keys((grammar as unknown as { rules: Record<string, unknown> }).rules)
  // Leaves out the rules that are only part of a statement, and rules that are split into named alternatives.
  const kinds = rules.filter(rule => /^[A-Z]/.test(rule))
    .filter(rule => !['Statement', 'Content', 'Role', 'Thing', 'Engine', 'Where'].includes(rule.split('_')[0]!))
    .filter(rule => !rules.some(other => other.startsWith(`${rule}_`)))
  t.deepEqual(kinds.sort(), [...STATEMENT_KINDS].sort())
})

test('a wrong line is reported with its number', t => {
  const parsed = parseScenario('store goes down\n\nstore goes sideways', { file: 'a.scenario' })
  t.deepEqual(parsed.kind === 'invalid' ? parsed.faults.map(fault => fault.split(':').slice(0, 2).join(':')) : [], ['a.scenario:3'])
})
