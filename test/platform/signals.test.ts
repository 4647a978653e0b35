import { spawn } from 'node:child_process'
import { once } from 'node:events'
import test from 'ava'

/** A program that sets its signal handlers only on input, as a gateway does only at the end of its start. */
const PROGRAM = `
  import { handleSignal } from './platform/handleSignal.js'
  process.stdin.once('data', () => {
    handleSignal('SIGHUP', () => console.log('reloaded'))
    handleSignal('SIGTERM', () => process.exit(7))
  })
  console.log('loading')
`

test('signals that arrive during the start are handled after it', async t => {
  const child = spawn(process.execPath, ['--import=tsx', '--input-type=module', '--eval', PROGRAM], { stdio: ['pipe', 'pipe', 'inherit'] })
  const lines: string[] = []
  child.stdout.on('data', chunk => {
    lines.push(...String(chunk).trim().split('\n'))
    if (lines.at(-1) !== 'loading') return
    child.kill('SIGHUP')
    child.kill('SIGTERM')
    child.stdin.write('handle')
  })
  const [code] = await once(child, 'exit')
  t.deepEqual([code, lines], [7, ['loading', 'reloaded']])
})
