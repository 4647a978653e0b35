import { closeSync, constants, mkdtempSync, openSync, unlinkSync } from 'node:fs'
import { execFileSync } from 'node:child_process'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { createBoundedOutput } from './index.js'

test('when the reader stops reading, lines are dropped and no write blocks', t => {
  const pipe = join(mkdtempSync(join(tmpdir(), 'output-')), 'pipe')
  execFileSync('mkfifo', [pipe])
  const reader = openSync(pipe, constants.O_RDONLY | constants.O_NONBLOCK)
  const writer = openSync(pipe, constants.O_WRONLY)
  let dropped = 0
  const output = createBoundedOutput({ descriptor: writer, onDrop: () => { dropped++ } })
  for (let count = 0; count < 3_000; count++) output.write(`${'x'.repeat(1_000)}\n`)
  t.true(dropped > 1_000)
  closeSync(reader)
  unlinkSync(pipe)
  output.destroy()
})
