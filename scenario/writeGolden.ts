/**
 * `npm run golden -- NAME...`: regenerates the golden transcripts of scenarios. CI never runs it.
 */
import { readFile, writeFile } from 'node:fs/promises'
import { parseScenario } from './parseScenario/index.js'
import { runScenario } from './runScenario/index.js'

for (const name of process.argv.slice(2)) {
  const file = `test/scenarios/${name}.scenario`
  const parsed = parseScenario(await readFile(file, 'utf8'), { file })
  if (parsed.kind === 'invalid') throw new Error(parsed.faults.join('\n'))
  const outcome = await runScenario(parsed.statements, { seed: 1 })
  if (outcome.kind === 'failed') throw new Error(outcome.failure)
  await writeFile(`test/golden/${name}.txt`, outcome.transcript)
}
process.exit(0)
