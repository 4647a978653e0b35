/**
 * `npm run prove`: puts each seeded fault into a copy of the code and runs its scenarios there.
 * A scenario that does not fail proves nothing; it is listed, and the exit code is 1.
 */
import { spawnSync } from 'node:child_process'
import { cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { FAULTS, type SeededFault } from './faults.js'

/** What a copy needs to run scenarios. */
const COPIED = ['src', 'standin', 'scenario', 'test', 'package.json', 'tsconfig.json']

const folder = mkdtempSync(path.join(tmpdir(), 'coltsfootlead-'))
for (const name of COPIED) cpSync(name, path.join(folder, name), { recursive: true })
symlinkSync(path.resolve('node_modules'), path.join(folder, 'node_modules'))

/** The line on which a scenario fails, or nothing when it passes. */
function runInCopy (scenario: string): string | undefined {
  const run = spawnSync('npx', ['tsx', 'scenario/main.ts', `test/scenarios/${scenario}.scenario`], { cwd: folder, encoding: 'utf8', maxBuffer: 1 << 28 })
  if (run.status === 0) return undefined
  return /failed, seed \d+: (line \d+: [^\n]{0,160})/.exec(run.stdout)?.[1] ?? `exit code ${run.status}: ${run.stderr.slice(0, 160)}`
}

function prove (fault: SeededFault): boolean {
  const file = path.join(folder, fault.file)
  const sound = readFileSync(file, 'utf8')
  if (sound.split(fault.sound).length !== 2) {
    console.log(`| ${fault.what} | - | the sound code does not stand exactly once in ${fault.file} |`)
    return false
  }
  writeFileSync(file, sound.replace(fault.sound, () => fault.faulty))
  const results = fault.scenarios.map(scenario => ({ scenario, failure: runInCopy(scenario) }))
  writeFileSync(file, sound)
  for (const { scenario, failure } of results) console.log(`| ${fault.what} | ${scenario} | ${failure ?? 'PASSED: not found'} |`)
  return results.every(({ failure }) => failure !== undefined)
}

const found = FAULTS.map(prove)
rmSync(folder, { recursive: true, force: true })
process.exit(found.every(Boolean) ? 0 : 1)
