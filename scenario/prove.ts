/**
 * `npm run prove`: applies each seeded fault to a copy of the code and runs its scenarios there.
 * A scenario that passes does not detect the fault; it is printed, and the exit code is 1.
 */
import { spawnSync } from 'node:child_process'
import { cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { SEEDED_FAULTS, type SeededFault } from './faults.js'

/** Files and folders that scenarios need to run. */
const COPIED_PATHS = ['src', 'standin', 'scenario', 'test', 'package.json', 'tsconfig.json']

const copyFolder = mkdtempSync(path.join(tmpdir(), 'coltsfootlead-'))
for (const name of COPIED_PATHS) cpSync(name, path.join(copyFolder, name), { recursive: true })
symlinkSync(path.resolve('node_modules'), path.join(copyFolder, 'node_modules'))

/** Runs a scenario in the copy; returns the line and reason of its failure, or undefined if it passes. */
function runInCopy (scenario: string): string | undefined {
  const run = spawnSync('npx', ['tsx', 'scenario/main.ts', `test/scenarios/${scenario}.scenario`], { cwd: copyFolder, encoding: 'utf8', maxBuffer: 1 << 28 })
  if (run.status === 0) return undefined
  return /failed, seed \d+: (line \d+: [^\n]{0,90})/.exec(run.stdout)?.[1] ?? `exit code ${run.status}: ${run.stderr.slice(0, 160)}`
}

/** Applies an edit to the copy and returns a function that undoes it; undefined unless the original code occurs exactly once. */
function applyEdit (edit: Pick<SeededFault, 'file' | 'original' | 'replacement'>): (() => void) | undefined {
  const file = path.join(copyFolder, edit.file)
  const text = readFileSync(file, 'utf8')
  if (text.split(edit.original).length !== 2) return undefined
  writeFileSync(file, text.replace(edit.original, () => edit.replacement))
  return () => writeFileSync(file, text)
}

function proveFault (fault: SeededFault): boolean {
  const undoEdits = [fault, ...(fault.secondEdit === undefined ? [] : [fault.secondEdit])].map(applyEdit)
  const results = fault.scenarios.map(scenario => ({ scenario, failure: runInCopy(scenario) }))
  for (const undoEdit of undoEdits) undoEdit?.()
  const isComplete = undoEdits.every(undoEdit => undoEdit !== undefined)
  for (const { scenario, failure } of results) {
    console.log(`| ${fault.what} | ${scenario} | ${isComplete ? failure ?? 'PASSED: fault not detected' : 'the original code was not found exactly once'} |`)
  }
  return isComplete && results.every(({ failure }) => failure !== undefined)
}

const detections = SEEDED_FAULTS.map(proveFault)
rmSync(copyFolder, { recursive: true, force: true })
process.exit(detections.every(Boolean) ? 0 : 1)
