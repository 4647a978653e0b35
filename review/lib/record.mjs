// The record of a run: what was sent, answered and run, with times since its start.
import { writeFileSync } from 'node:fs'

export function createRecord (folder) {
  const startMs = Date.now()
  const lines = []
  const at = ms => ((ms - startMs) / 1000).toFixed(3).padStart(8)
  return {
    note (text, ms = Date.now()) {
      lines.push({ ms, text: `${at(ms)} s  ${text}` })
      if (process.env.SHOW === '1') process.stdout.write(`${at(ms)} s  ${text}\n`)
    },
    write () { writeFileSync(`${folder}/record.txt`, lines.sort((a, b) => a.ms - b.ms).map(line => `${line.text}\n`).join('')) }
  }
}
