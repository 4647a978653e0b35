/** Writes `record.txt` beside a case: what was sent, answered and run. */
import { appendFileSync, writeFileSync } from 'node:fs'

export function openRecord (file) {
  writeFileSync(file, '')
  const startedMs = Date.now()
  return line => appendFileSync(file, `${((Date.now() - startedMs) / 1000).toFixed(3).padStart(8)} s  ${line}\n`)
}
