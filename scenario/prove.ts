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
  return /failed, seed \d+: (line \d+: [^\n]{0,90})/.exec(run.stdout)?.[1] ?? `exit code ${run.status}: ${run.stderr.slice(0, 160)}`
}

/** Puts an edit into the copy and returns how to take it out; nothing where the sound code is not found once. */
function putIn (edit: Pick<SeededFault, 'file' | 'sound' | 'faulty'>): (() => void) | undefined {
  const file = path.join(folder, edit.file)
  const text = readFileSync(file, 'utf8')
  if (text.split(edit.sound).length !== 2) return undefined
  writeFileSync(file, text.replace(edit.sound, () => edit.faulty))
  return () => writeFileSync(file, text)
}

function prove (fault: SeededFault): boolean {
  const undo = [fault, ...(fault.also === undefined ? [] : [fault.also])].map(putIn)
  const results = fault.scenarios.map(scenario => ({ scenario, failure: runInCopy(scenario) }))
  for (const takeOut of undo) takeOut?.()
  const isComplete = undo.every(takeOut => takeOut !== undefined)
  for (const { scenario, failure } of results) {
    console.log(`| ${fault.what} | ${scenario} | ${isComplete ? failure ?? 'PASSED: not found' : 'the sound code was not found'} |`)
  }
  return isComplete && results.every(({ failure }) => failure !== undefined)
}

const found = FAULTS.map(prove)
rmSync(folder, { recursive: true, force: true })
process.exit(found.every(Boolean) ? 0 : 1)
