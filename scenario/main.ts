/**
 * `npm run scenario -- FILE [--seed N]`: runs one scenario and prints its transcript.
 */
import { readFile } from 'node:fs/promises'
import { parseArgs } from 'node:util'
import { parseScenario } from './parseScenario/index.js'
import { runScenario } from './runScenario/index.js'

const { positionals, values } = parseArgs({ allowPositionals: true, options: { seed: { type: 'string', default: '1' } } })
const file = positionals[0]
if (file === undefined) {
  console.error('usage: npm run scenario -- FILE [--seed N]')
  process.exit(1)
}
const parsed = parseScenario(await readFile(file, 'utf8'), { file })
if (parsed.kind === 'invalid') {
  console.error(parsed.faults.join('\n'))
  process.exit(1)
}
const outcome = await runScenario(parsed.statements, { seed: Number(values.seed) })
console.log(outcome.transcript)
console.log(outcome.kind === 'passed' ? `${file}: passed` : `${file}: failed, seed ${values.seed}: ${outcome.failure}`)
process.exit(outcome.kind === 'passed' ? 0 : 1)
